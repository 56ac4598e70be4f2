package org.fallturn.node.gateway;

/** How it is known that an engine no longer works on a request that was sent to it. */
enum RunEnd {
  /** It never got the request. */
  NOT_SENT,
  /** It answered to the end. */
  ANSWERED,
  /** The connection ended before the answer did. */
  CONNECTION_ENDED,
  /** The connection ended, and a later report of the engine does not show the request. */
  REPORTED,
  /** The connection ended, and the engine is gone. */
  ENGINE_GONE,
  /** The connection ended, and the engine does not tell whether it still works on the request. */
  NOT_TOLD,
  /** The node that forwards said what became of the request. */
  FORWARDER_ANSWERED,
  /** The node that forwards confirmed that it has ended its connection to the engine. */
  FORWARDER_CONFIRMED,
  /** Nothing listens at the node that forwards, whose connections have ended with it. */
  FORWARDER_GONE,
  /** The lease under which another node forwards is over. */
  LEASE_OVER,
  /** Nothing is known but that this node has begun to end the attempt. */
  ABORT_ORDERED
}
