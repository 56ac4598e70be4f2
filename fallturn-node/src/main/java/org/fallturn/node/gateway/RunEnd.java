package org.fallturn.node.gateway;

/** How it is known that an engine no longer works on a request that was sent to it. */
enum RunEnd {
  /** It never got the request. */
  NOT_SENT,
  /** It answered to the end. */
  ANSWERED,
  /** The connection ended before the answer did. */
  CONNECTION_ENDED,
  /** Nothing is known but that this node has begun to end the attempt. */
  ABORT_ORDERED
}
