package org.fallturn.core.dispatch;

import java.time.Duration;

/**
 * How long an attempt may go without any part of an answer.
 *
 * @param duration the timeout
 * @param blamesEngine whether silence for that long speaks against the engine; false when the
 *     caller's deadline cut the timeout short, since a healthy engine may need longer
 */
public record AttemptTimeout(Duration duration, boolean blamesEngine) {

  /** The outcome of an attempt in which nothing came within the timeout. */
  public AttemptOutcome outcomeOnTimeout() {
    return blamesEngine ? AttemptOutcome.SILENT : AttemptOutcome.OUT_OF_TIME;
  }
}
