package org.fallturn.node.gateway;

import java.util.concurrent.atomic.AtomicReference;

/**
 * How far an attempt at an engine has come. Thread-safe.
 *
 * <p>Invariant: an attempt that was ended while it waited never relays any part of an answer, so
 * that the request may be sent to another engine.
 */
final class AttemptState {

  /** The phases, in order. */
  enum Phase {
    /** No part of an answer has been relayed. */
    WAITING,
    /** The beginning of the answer has been relayed, or is about to be. */
    RELAYING,
    /** Ended; whatever still arrives is ignored. */
    ENDED
  }

  private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.WAITING);

  Phase phase() {
    return phase.get();
  }

  boolean waiting() {
    return phase.get() == Phase.WAITING;
  }

  boolean relaying() {
    return phase.get() == Phase.RELAYING;
  }

  boolean ended() {
    return phase.get() == Phase.ENDED;
  }

  /** Whether a part of the answer may be relayed; once one is, no other attempt may begin. */
  boolean relay() {
    return phase.compareAndSet(Phase.WAITING, Phase.RELAYING) || relaying();
  }

  /** Ends the attempt; returns the phase in which it was. */
  Phase end() {
    return phase.getAndSet(Phase.ENDED);
  }

  /** Ends the attempt unless part of an answer has been relayed; returns whether it did. */
  boolean endIfWaiting() {
    return phase.compareAndSet(Phase.WAITING, Phase.ENDED);
  }
}
