package org.fallturn.node.gateway;

import java.time.Duration;

/**
 * When the steps of a planned stop are due, each in nanoTime. A request is never left to the end of
 * the process: whoever waits for it gets an answer before.
 *
 * @param lingerEnd from then on new requests are refused
 * @param repeatableForwardedEnd when requests end that other nodes wait to send on
 * @param answersEnd when all other requests that have no answer get their last one
 * @param processEnd when the process ends, whatever is left
 */
record StopTimes(long lingerEnd, long repeatableForwardedEnd, long answersEnd, long processEnd) {

  /** What the last answers need on their way. */
  private static final Duration LAST_ANSWERS = Duration.ofMillis(300);

  /** An engine that works on is waited for so long, before the other node is told. */
  private static final Duration LAST_FORWARDED = Duration.ofMillis(1_800);

  /**
   * Plans a stop.
   *
   * @param linger how long new requests are still taken
   * @param within how long the stop may take
   */
  static StopTimes of(long beginNanos, Duration linger, Duration within) {
    long processEnd = beginNanos + within.toNanos();
    long answersEnd = processEnd - Math.min(LAST_ANSWERS.toNanos(), within.toNanos() / 2);
    long forwardedEnd = processEnd - Math.min(LAST_FORWARDED.toNanos(), within.toNanos());
    long lingerNanos = Math.min(linger.toNanos(), answersEnd - beginNanos);
    return new StopTimes(beginNanos + lingerNanos, forwardedEnd, answersEnd, processEnd);
  }

  /** Whether new requests are refused. */
  boolean lingered(long nowNanos) {
    return nowNanos - lingerEnd >= 0;
  }

  /** Whether requests have to end that other nodes wait to send on. */
  boolean endsRepeatableForwarded(long nowNanos) {
    return nowNanos - repeatableForwardedEnd >= 0;
  }

  /** Whether no request may go on. */
  boolean endsAll(long nowNanos) {
    return nowNanos - answersEnd >= 0;
  }

  /** Whether the process has to end. */
  boolean over(long nowNanos) {
    return nowNanos - processEnd >= 0;
  }
}
