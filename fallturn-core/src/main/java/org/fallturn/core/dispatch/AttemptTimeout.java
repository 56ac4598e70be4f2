package org.fallturn.core.dispatch;

import java.time.Duration;

/**
 * How long an attempt may go without a sign of an answer.
 *
 * @param duration the time
 * @param fair whether the engine should have answered within it; not when the caller's own time
 *     bounds it, so that silence then says nothing about the engine
 */
public record AttemptTimeout(Duration duration, boolean fair) {

  /** What silence for that long means. */
  public AttemptOutcome whenOver() {
    return fair ? AttemptOutcome.SILENT : AttemptOutcome.OUT_OF_TIME;
  }
}
