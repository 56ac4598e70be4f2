package org.fallturn.core.limits;

/**
 * The state of a shared rate that nodes send to each other. Digests of several nodes add up
 * component by component. Immutable.
 *
 * @param nodes number of nodes that this digest sums up; each of them applies the limit
 * @param weight their demand, relative to the weights of other nodes
 * @param held permits that they hold and that no request has used yet
 * @param sent requests that they sent within the last window
 */
public record RateDigest(int nodes, int weight, int held, int sent) {

  /** The digest of no nodes. */
  public static final RateDigest NONE = new RateDigest(0, 0, 0, 0);

  /** Returns the sum of this digest and another one. */
  public RateDigest plus(RateDigest other) {
    return new RateDigest(
        nodes + other.nodes, weight + other.weight, held + other.held, sent + other.sent);
  }
}
