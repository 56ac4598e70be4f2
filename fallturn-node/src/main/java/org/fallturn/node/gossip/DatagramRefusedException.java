package org.fallturn.node.gossip;

/** A datagram was not written by a node of this cluster, or cannot be read. */
public class DatagramRefusedException extends Exception {

  private final Reason reason;

  /** Says why. */
  public DatagramRefusedException(Reason reason, Throwable cause) {
    super(reason.name(), cause);
    this.reason = reason;
  }

  /** Why it was refused. */
  public Reason reason() {
    return reason;
  }

  /** Why a datagram is refused. */
  public enum Reason {
    /** It is too short or its content is no gossip message. */
    MALFORMED,
    /** Its authentication code is not that of the cluster key. */
    NOT_AUTHENTIC
  }
}
