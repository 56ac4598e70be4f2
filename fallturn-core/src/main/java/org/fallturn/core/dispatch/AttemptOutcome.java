package org.fallturn.core.dispatch;

/** How an attempt at one engine ended without a complete, successful answer. */
public enum AttemptOutcome {
  /** No byte of the request reached the engine. */
  NOT_SENT(false),
  /** Not sent, because the engine wants no more requests from this node. */
  HELD_BACK(false),
  /** The engine reported that it did not run the request. */
  NOT_EXECUTED(false),
  /**
   * The process at the engine's address is not the engine that was meant, or has another role now;
   * nothing ran.
   */
  MISDIRECTED(false),
  /** The engine reported a failure of its own, after it may have run the request. */
  ANSWERED_FAILURE(true),
  /** The connection broke, or the bytes received are no answer to this request. */
  LOST(true),
  /** No part of an answer came within the timeout of the attempt. */
  SILENT(true),
  /** This node gave the attempt up for a reason that says nothing about the engine. */
  WITHDRAWN(true),
  /**
   * No part of an answer came within a timeout that the caller's deadline had cut short; the engine
   * may be healthy.
   */
  OUT_OF_TIME(true),
  /** The answer broke off after part of it had been passed on to the caller. */
  BROKEN_MIDWAY(true),
  /**
   * The answer ended with its connection, and the engine, which may be healthy, has not shown since
   * that it runs; so it is not known whether the answer is whole.
   */
  UNCONFIRMED(true),
  /** As {@link #UNCONFIRMED}, after part of the answer had been passed on to the caller. */
  UNCONFIRMED_MIDWAY(true);

  private final boolean mayHaveRun;

  AttemptOutcome(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** Whether a byte of the request may have reached the engine. */
  public boolean mayHaveReached() {
    return this != NOT_SENT && this != HELD_BACK;
  }

  /** Whether the engine may have begun to work on the request. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Whether part of an answer had been passed on to the caller. */
  public boolean isMidway() {
    return this == BROKEN_MIDWAY || this == UNCONFIRMED_MIDWAY;
  }

  /** Whether a crash of the engine may have caused this outcome; other faults may look the same. */
  public boolean mayBeCrash() {
    return this == LOST || this == BROKEN_MIDWAY;
  }

  /** Whether the outcome speaks against the engine or the network path to it. */
  public boolean blamesEngine() {
    return switch (this) {
      case HELD_BACK,
          NOT_EXECUTED,
          MISDIRECTED,
          ANSWERED_FAILURE,
          WITHDRAWN,
          OUT_OF_TIME,
          UNCONFIRMED,
          UNCONFIRMED_MIDWAY ->
          false;
      case NOT_SENT, LOST, SILENT, BROKEN_MIDWAY -> true;
    };
  }
}
