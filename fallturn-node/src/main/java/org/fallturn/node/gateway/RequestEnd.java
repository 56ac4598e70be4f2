package org.fallturn.node.gateway;

/** Why a request needs no answer any more, although it has none. */
enum RequestEnd {
  /** The caller closed its connection, or the connection failed. */
  CALLER_GONE,
  /** The deadline passed. */
  TIME_OVER
}
