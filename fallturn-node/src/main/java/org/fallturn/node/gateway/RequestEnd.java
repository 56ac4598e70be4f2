package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.dispatch.ErrorAnswer;
import org.fallturn.core.dispatch.RequestProgress;
import org.fallturn.core.error.ErrorKind;

/** Why a request gets no further answer of an engine, although it has none that is whole. */
enum RequestEnd {
  /** The caller closed its connection, or the connection failed; nobody reads an answer. */
  CALLER_GONE(ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STOPPING, Duration.ZERO),
  /** The deadline passed. */
  TIME_OVER(ErrorKind.DEADLINE_EXCEEDED, ErrorKind.DEADLINE_UNREACHABLE, Duration.ofSeconds(1)),
  /** This process is about to end; other nodes serve on. */
  NODE_STOPS(ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STOPPING, Duration.ofMillis(300));

  private final ErrorKind ifPossiblyRun;
  private final ErrorKind ifNotRun;
  private final Duration retryAfter;

  RequestEnd(ErrorKind ifPossiblyRun, ErrorKind ifNotRun, Duration retryAfter) {
    this.ifPossiblyRun = ifPossiblyRun;
    this.ifNotRun = ifNotRun;
    this.retryAfter = retryAfter;
  }

  /** What a caller who still waits is answered with. */
  ErrorAnswer answer(RequestProgress progress) {
    return ErrorAnswer.of(progress.notRunProof(), ifNotRun, Optional.of(retryAfter), ifPossiblyRun);
  }
}
