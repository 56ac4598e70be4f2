package org.fallturn.core.limits;

/**
 * What nodes tell each other of a rate that they share; adds up over nodes. Immutable.
 *
 * @param nodes how many nodes keep to the limit and tell so
 * @param weight how much of the rate they want, against what the others tell
 * @param held permits that they have and nobody has asked for yet
 * @param sent what they have sent within the last window
 */
public record RateDigest(int nodes, int weight, int held, int sent) {

  /** Nobody keeps to a limit. */
  public static final RateDigest NONE = new RateDigest(0, 0, 0, 0);

  /** Both together. */
  public RateDigest plus(RateDigest other) {
    return new RateDigest(
        nodes + other.nodes, weight + other.weight, held + other.held, sent + other.sent);
  }
}
