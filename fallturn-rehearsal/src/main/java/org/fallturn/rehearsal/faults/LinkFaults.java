package org.fallturn.rehearsal.faults;

/**
 * What is wrong with a link. Immutable.
 *
 * @param delayMillis added to each chunk or datagram, in each direction
 * @param loss share of datagrams that are lost, 0 to 1; UDP only
 * @param duplication share of datagrams that come twice, 0 to 1; UDP only
 * @param reordering share of datagrams that are held back behind the next one, 0 to 1; UDP only
 * @param cut connections are refused and open ones reset; datagrams are lost
 * @param holdForward bytes towards the target stand still; datagrams that way are lost
 * @param holdBackward bytes from the target stand still; datagrams that way are lost
 * @param resetAfterBytes each connection is reset once it carried so many bytes from the target; 0
 *     for never; TCP only
 */
public record LinkFaults(
    long delayMillis,
    double loss,
    double duplication,
    double reordering,
    boolean cut,
    boolean holdForward,
    boolean holdBackward,
    long resetAfterBytes) {

  /** A link without faults. */
  public static final LinkFaults NONE = new LinkFaults(0, 0, 0, 0, false, false, false, 0);

  /** Refuses connections and resets the open ones. */
  public static final LinkFaults CUT = new LinkFaults(0, 0, 0, 0, true, false, false, 0);

  /** Silent in both directions, as in a partition of the network. */
  public static final LinkFaults SILENT = new LinkFaults(0, 0, 0, 0, false, true, true, 0);

  /** Questions arrive, answers do not. */
  public static final LinkFaults ANSWERS_HELD = new LinkFaults(0, 0, 0, 0, false, false, true, 0);

  /** A link that only delays. */
  public static LinkFaults delay(long millis) {
    return new LinkFaults(millis, 0, 0, 0, false, false, false, 0);
  }

  /** A link that resets each connection after so many bytes from the target. */
  public static LinkFaults resetAfter(long bytes) {
    return new LinkFaults(0, 0, 0, 0, false, false, false, bytes);
  }

  /** A datagram link that loses, doubles and reorders. */
  public static LinkFaults datagrams(double loss, double duplication, double reordering) {
    return new LinkFaults(0, loss, duplication, reordering, false, false, false, 0);
  }
}
