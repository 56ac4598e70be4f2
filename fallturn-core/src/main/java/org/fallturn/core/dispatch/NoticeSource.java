package org.fallturn.core.dispatch;

/** How a node learned a fact that an engine announces about itself. */
public enum NoticeSource {
  /** The engine announced it in an answer to this node. */
  ANSWER,
  /** The directory of engines contains it. */
  LIST,
  /** Another node reported it. */
  PEER
}
