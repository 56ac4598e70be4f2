package org.fallturn.core.limits;

/**
 * What nodes tell each other of a budget that they share; adds up over nodes. Immutable.
 *
 * @param nodes how many nodes share it and tell so
 * @param requests what came to them within the last window
 * @param used what they have taken within the last window
 * @param wanted what they have wanted lately, whether they got it or not
 * @param kept hundredths of what they may still take of their own parts, whatever others want
 */
public record BudgetDigest(int nodes, int requests, int used, int wanted, int kept) {

  /** Nobody tells anything. */
  public static final BudgetDigest NONE = new BudgetDigest(0, 0, 0, 0, 0);

  /** Whether somebody wants a part of the budget or has one; nobody else needs to speak. */
  public boolean inUse() {
    return used > 0 || wanted > 0;
  }

  /** Both together. */
  public BudgetDigest plus(BudgetDigest other) {
    return new BudgetDigest(
        nodes + other.nodes,
        requests + other.requests,
        used + other.used,
        wanted + other.wanted,
        kept + other.kept);
  }
}
