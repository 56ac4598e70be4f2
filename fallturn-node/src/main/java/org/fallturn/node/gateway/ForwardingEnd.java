package org.fallturn.node.gateway;

/** Why this node gave up a request that it sent for another one. */
enum ForwardingEnd {
  /** It did not. */
  NONE,
  /** The other node closed the connection. */
  NODE_CLOSED,
  /** The other node cancelled it. */
  CANCELLED,
  /** The other node did not confirm in time that it still waits for the answer. */
  NOT_CONFIRMED,
  /** This process is about to end. */
  NODE_STOPS,
  /** This node failed on it, as for want of memory. */
  NODE_FAILED
}
