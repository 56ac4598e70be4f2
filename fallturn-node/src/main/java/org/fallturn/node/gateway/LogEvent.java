package org.fallturn.node.gateway;

/** The closed list of events that a gateway logs; docs/operations/logs.md has their fields. */
public enum LogEvent {
  /** The process began to serve its ports. */
  STARTED,
  /** The figures cannot be served at their address. */
  METRICS_REFUSED,
  /** A planned stop began. */
  STOPPING,
  /** The process ends. */
  STOPPED,
  /** A duty failed, and goes on or ends the node; which duty is the detail. */
  DUTY_FAILED,
  /** A request is given up, since a duty of this node cannot go on. */
  GIVEN_UP,
  /** The settings were read again. */
  SETTINGS_RELOADED,
  /** The settings could not be read again; the old ones stay. */
  SETTINGS_REFUSED,
  /** Lines were dropped, since they came faster than they were read. */
  LINES_DROPPED,
  /** The store answers again. */
  DEPENDENCY_REGAINED,
  /** The store does not answer. */
  DEPENDENCY_LOST,
  /** The rows of a table come from other nodes, or from the store, from now on. */
  SOURCE_CHANGED,
  /** A table was learned from another node. */
  LEARNED_FROM_PEER,
  /** An engine said which parts it keeps, or did not answer. */
  CACHE_LISTED,
  /** No other node could tell a table. */
  NO_PEER_KNOWS,
  /** The store has dropped changes that were not read yet. */
  HISTORY_LOST,
  /** A version of routes and services is in force here. */
  ROUTING_CHANGED,
  /** The list of engines changed. */
  ENGINES_CHANGED,
  /** This node avoids an engine from now on. */
  ENGINE_SUSPENDED,
  /** This node uses an engine again. */
  ENGINE_RESUMED,
  /** An engine is found to leave; how that was learned is the detail. */
  ENGINE_LEAVES,
  /** An engine wants nothing from this node for a time. */
  ENGINE_RESTS,
  /** An engine takes only so many requests a second from all nodes together. */
  ENGINE_LIMITED,
  /** An engine that took only so many requests takes any number again. */
  ENGINE_LIMIT_ENDED,
  /** An engine is slower or faster than the others of its service, or no more; the detail. */
  ENGINE_PACE,
  /** What an engine said of its rest, limit or load is no number and is passed over. */
  NOTICE_REFUSED,
  /** An engine's answer bears a header that this build does not know; once a name. */
  HEADER_UNKNOWN,
  /** An engine that seemed to crash was asked, and is gone. */
  ENGINE_GONE,
  /** Engines have crashed under a content, or nothing speaks against it any more. */
  STANDING_CHANGED,
  /** A content in quarantine was written to the store, or taken from it, or could not be. */
  QUARANTINE_STORED,
  /** An engine was ordered to take another stage. */
  STAGE_ORDERED,
  /** An engine was not ordered to take another stage after all. */
  STAGE_CHANGE_ABANDONED,
  /** The usage of a window was reported to the platform. */
  USAGE_REPORTED,
  /** The usage of a window could not be reported yet. */
  USAGE_NOT_REPORTED,
  /** Engines were ordered from the platform. */
  SCALE_ORDERED,
  /** What this node, which orders the stages, goes by. */
  STAGE_OUTLOOK,
  /** A row of the store could not be read and is left out. */
  ROW_REFUSED,
  /** A request was refused before it reached the dispatcher. */
  REFUSED_AT_DOOR,
  /** A request waits at this node until an engine has room for it. */
  WAITING,
  /** A request need not wait any longer, or may not; the next line says what is next for it. */
  WAITED,
  /** A request is sent to an engine. */
  PLACED,
  /** A request is answered with an error of this node. */
  REFUSED,
  /** An engine has read the prompt of a request ahead. */
  PREFILLED,
  /** The first part of an answer was passed on. */
  BEGAN,
  /** An attempt is given up, since its engine or connection does not answer. */
  STUCK,
  /** An attempt at an engine failed. */
  ATTEMPT_FAILED,
  /** The failure that an engine answered with is passed on. */
  FAILURE_PASSED,
  /** An answer was passed on whole. */
  FINISHED,
  /** The caller left before its answer was whole. */
  CALLER_GONE,
  /** The time of a request was over before its answer was whole. */
  TIME_OVER
}
