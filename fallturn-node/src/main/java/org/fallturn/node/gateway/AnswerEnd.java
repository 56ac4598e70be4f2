package org.fallturn.node.gateway;

/** How it is known that an answer has ended, as far as it is. */
enum AnswerEnd {
  /** No answer has come to an end. */
  NONE,
  /** The answer told its length, or its end. */
  MARKED,
  /** The answer ended with its connection, and its engine was heard after that. */
  CONFIRMED,
  /** The answer ended with its connection, and its engine is gone. */
  ENGINE_GONE,
  /** The answer ended with its connection, and nothing is known of its engine since. */
  NOT_CONFIRMED
}
