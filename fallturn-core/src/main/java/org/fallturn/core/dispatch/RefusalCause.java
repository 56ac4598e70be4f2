package org.fallturn.core.dispatch;

/** Why a request is answered with an error of this node; the closed list that figures go by. */
public enum RefusalCause {
  /** Its first token is foreseen for too late. */
  FORESEEN,
  /** No engine has room for it in its time. */
  NO_ROOM,
  /** What waits at this node has filled its memory. */
  MEMORY_FULL,
  /** Its time ran out while it waited at this node. */
  TIME_OVER,
  /** No engine is there. */
  NO_ENGINE,
  /** Each engine that is there turned it away. */
  TURNED_AWAY,
  /** Each engine rests, or has no room within its limit. */
  CLOSED,
  /** It may not be sent again. */
  RETRY_BUDGET,
  /** This node stops. */
  STOPPING,
  /** An engine may have run it. */
  OUTCOME_UNKNOWN,
  /** Engines crash under it. */
  QUARANTINED
}
