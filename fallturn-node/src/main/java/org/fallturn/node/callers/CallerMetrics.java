package org.fallturn.node.callers;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import org.fallturn.core.error.ErrorKind;

/** Meters of the callers' door. Thread-safe. */
final class CallerMetrics {

  private static final String REQUESTS = "fallturn.requests";
  private static final String OUTCOME = "outcome";

  private final MeterRegistry registry;
  private final Counter tokens;
  private final Counter attempts;
  private final Timer firstToken;

  CallerMetrics(MeterRegistry registry) {
    this.registry = registry;
    this.tokens = registry.counter("fallturn.requests.tokens");
    this.attempts = registry.counter("fallturn.requests.attempts");
    this.firstToken = registry.timer("fallturn.requests.first.token");
  }

  /** A request got its whole answer. */
  void completed(int tokenCount) {
    registry.counter(REQUESTS, OUTCOME, "complete").increment();
    tokens.increment(tokenCount);
  }

  /** A request got an error. */
  void failed(ErrorKind kind) {
    registry.counter(REQUESTS, OUTCOME, kind.name()).increment();
  }

  /** A retry got the stored answer. */
  void replayed() {
    registry.counter(REQUESTS, OUTCOME, "replayed").increment();
  }

  /** An answer broke off after a part of it was passed on. */
  void brokenOff() {
    registry.counter(REQUESTS, OUTCOME, "broken-off").increment();
  }

  /** A caller went away. */
  void abandoned() {
    registry.counter(REQUESTS, OUTCOME, "abandoned").increment();
  }

  /** A placement was asked for. */
  void attempted() {
    attempts.increment();
  }

  /** The first token came. */
  void firstToken(long nanos) {
    firstToken.record(Duration.ofNanos(nanos));
  }
}
