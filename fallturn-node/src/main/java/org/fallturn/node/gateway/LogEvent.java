package org.fallturn.node.gateway;

/**
 * The closed list of events that a gateway logs; docs/operations/logs.md has their fields. The
 * detail of an event is a label of the metric that counts it.
 */
public enum LogEvent {
  /** The process began to serve its ports. */
  STARTED,
  /** The metrics cannot be served at their address. */
  METRICS_REFUSED,
  /** A planned stop began. */
  STOPPING,
  /** The process ends. */
  STOPPED,
  /** A duty failed, and either goes on or ends the node; the detail is the name of the duty. */
  DUTY_FAILED,
  /** This node abandons a request, because one of its duties cannot go on. */
  GIVEN_UP,
  /** The settings were reloaded. */
  SETTINGS_RELOADED,
  /** The settings could not be reloaded; the old ones stay in force. */
  SETTINGS_REFUSED,
  /** Log lines were dropped, because they were written faster than they were read. */
  LINES_DROPPED,
  /** The store answers again a table follower or duty whose call had failed. */
  DEPENDENCY_REGAINED,
  /** A call to the store failed; the line names the table or the duty that it was for. */
  DEPENDENCY_LOST,
  /** This node now reads a table from other nodes instead of the store, or the reverse. */
  SOURCE_CHANGED,
  /** This node received a table from another node. */
  LEARNED_FROM_PEER,
  /** An engine listed the prompt parts in its cache, or did not answer. */
  CACHE_LISTED,
  /** No other node could provide a table. */
  NO_PEER_KNOWS,
  /** The store has dropped changes of a table that this node had not read yet. */
  HISTORY_LOST,
  /** The store answers with an older state of a table than this node has already read. */
  STORE_BEHIND,
  /** The store's state of a table has reached what this node had read before. */
  STORE_CAUGHT_UP,
  /** The store was restored from a copy; versions of a table that this node has read are lost. */
  STORE_RESTORED,
  /** A version of the routes and services came into force at this node. */
  ROUTING_CHANGED,
  /** The list of engines changed. */
  ENGINES_CHANGED,
  /** This node stops using an engine. */
  ENGINE_SUSPENDED,
  /** This node uses a suspended engine again. */
  ENGINE_RESUMED,
  /** This node reaches an engine only through other nodes: its own link to it does not work. */
  ENGINE_THROUGH_PEERS,
  /** This node sends a request of another node to an engine. */
  FORWARDING,
  /** A request that this node sent for another node ended; the detail is the result. */
  FORWARDED,
  /**
   * An answer names another request than the one it came for, or none where one is due; the detail
   * says whether it bears a refusal.
   */
  ANSWER_OF_ANOTHER,
  /**
   * A request was to go over a connection to an engine that has carried one with its id, and goes
   * by another one.
   */
  ID_REPEATED,
  /** An engine was found at work on a request whose connection had ended long before. */
  ENGINE_WORKS_ON,
  /** This node found that an engine is leaving; the detail is the source of this notice. */
  ENGINE_LEAVES,
  /** An engine asked this node to send nothing for a time. */
  ENGINE_RESTS,
  /** An engine limits the requests per second that it takes from all nodes together. */
  ENGINE_LIMITED,
  /** An engine with a limit on requests per second takes any number again. */
  ENGINE_LIMIT_ENDED,
  /**
   * An engine became slower or faster than the others of its service, or no longer is; the detail
   * says which.
   */
  ENGINE_PACE,
  /** An engine's notice of its rest, limit or load is not a number, and is ignored. */
  NOTICE_REFUSED,
  /** An engine's answer has a header that this build does not know; logged once per header name. */
  HEADER_UNKNOWN,
  /** A probe of an engine that seemed to crash found that it is gone. */
  ENGINE_GONE,
  /** A content's quarantine status changed: engines crashed under it, or it was cleared. */
  STANDING_CHANGED,
  /**
   * A suspected or quarantined content was written to the store or removed from it, or its write
   * could not be queued.
   */
  QUARANTINE_STORED,
  /** This node ordered an engine to change its stage. */
  STAGE_ORDERED,
  /** This node abandoned a planned stage change before it sent the order. */
  STAGE_CHANGE_ABANDONED,
  /** This node reported the usage of a window to the platform. */
  USAGE_REPORTED,
  /**
   * This node does not report the usage of a window: another one may have done so with counts that
   * the store has lost.
   */
  USAGE_SKIPPED,
  /** This node could not report the usage of a window yet. */
  USAGE_NOT_REPORTED,
  /**
   * This node orders no engines of a service: how many there were before any order may have been
   * lost with the store.
   */
  INITIAL_COUNTS_LOST,
  /** This node ordered engines from the platform. */
  SCALE_ORDERED,
  /** The load figures on which this node, the one that orders stage changes, bases its orders. */
  STAGE_OUTLOOK,
  /** A row of the store could not be parsed and is left out. */
  ROW_REFUSED,
  /** A request was refused before it reached the dispatcher. */
  REFUSED_AT_DOOR,
  /** A request waits at this node until an engine has room for it. */
  WAITING,
  /** A request's wait ended, with room or without; the next line says what happens to it. */
  WAITED,
  /** This node sends a request to an engine. */
  PLACED,
  /** A request was not sent after all, since nobody waits for its answer; the detail says why. */
  SEND_WITHHELD,
  /** This node itself answers a request with an error. */
  REFUSED,
  /** An engine finished the prefill of a request. */
  PREFILLED,
  /** This node forwarded the first part of an answer to the caller. */
  BEGAN,
  /** This node abandons an attempt, because its engine or connection does not answer. */
  STUCK,
  /** An attempt at an engine failed. */
  ATTEMPT_FAILED,
  /**
   * A failed request wanted to be sent again: this node's part of the retry budget allows it or
   * not.
   */
  RETRY_BUDGET,
  /** This node forwards an engine's failure to the caller. */
  FAILURE_PASSED,
  /** This node forwarded a whole answer to the caller. */
  FINISHED,
  /** The caller disconnected before its answer was complete. */
  CALLER_GONE,
  /**
   * This node closed a connection of a caller while a request had no complete answer, or without
   * having announced it; the detail is the cause.
   */
  CONNECTION_CUT,
  /**
   * The time for a request's answer passed before that was complete: its deadline, or what this
   * process had left in a planned stop.
   */
  TIME_OVER
}
