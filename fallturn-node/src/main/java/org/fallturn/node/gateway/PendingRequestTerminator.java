package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fallturn.core.dispatch.RequestProgress;
import org.fallturn.core.error.ErrorKind;

/**
 * Answers the requests that a dispatch duty held when it could not go on, instead of letting each
 * wait for its deadline. Asks the dispatcher nothing, whose state is unknown; on the dispatch
 * thread.
 *
 * <p>Invariant: a request is called not run only when no engine can have run it. An answer that is
 * being passed on needs the duty no more and goes on.
 */
final class PendingRequestTerminator {

  /** The caller comes back to another node. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(300);

  private final EngineClient engines;
  private final DecisionLog log;

  PendingRequestTerminator(EngineClient engines, DecisionLog log) {
    this.engines = engines;
    this.log = log;
  }

  /** Gives up all that are held; one that cannot be answered is broken off. */
  void giveUp(Set<Exchange> active) {
    IllegalStateException failed = new IllegalStateException("requests could not be answered");
    for (Exchange exchange : List.copyOf(active)) {
      try {
        giveUp(exchange);
      } catch (Throwable fault) {
        failed.addSuppressed(fault);
        exchange.breakOff();
      }
    }
    if (failed.getSuppressed().length > 0) {
      throw failed;
    }
  }

  /** An event that the duty has not handled, or not to its end. */
  void onLate(DispatchEvent event) {
    if (event instanceof DispatchEvent.Arrived arrived) {
      giveUp(arrived.exchange());
    } else if (event instanceof DispatchEvent.Prefilled prefilled) {
      engines.freeHandle(prefilled.attempt().call().engine(), prefilled.handle());
      refuse(prefilled.exchange(), false);
    } else if (event instanceof DispatchEvent.AttemptFailed failed) {
      if (failed.exchange().attempt().filter(present -> present == failed.attempt()).isPresent()) {
        refuse(failed.exchange(), !failed.outcome().mayHaveRun());
      }
    } else if (event instanceof DispatchEvent.Finished finished) {
      log.finished(finished.exchange(), System.nanoTime());
    } else if (event instanceof DispatchEvent.CallerGone gone) {
      log.callerGone(gone.exchange());
      gone.exchange().attempt().ifPresent(attempt -> attempt.cancel("the caller left"));
      gone.exchange().breakOff();
    }
  }

  private void giveUp(Exchange exchange) {
    EngineAttempt attempt = exchange.attempt().orElse(null);
    if (attempt == null) {
      refuse(exchange, false);
    } else if (attempt.cancelled() || attempt.waiting() && attempt.cancel("the node ends")) {
      refuse(exchange, !attempt.maybeSent());
    }
  }

  /**
   * Refuses one.
   *
   * @param presentNotRun whether the attempt that was made last has not run for certain
   */
  private void refuse(Exchange exchange, boolean presentNotRun) {
    if (exchange.over()) {
      return;
    }
    RequestProgress progress = exchange.progress();
    boolean counted = progress.engine().isPresent() && !progress.prefilling();
    int runs = progress.possibleRuns() - (presentNotRun && counted ? 1 : 0);
    ErrorKind kind = runs > 0 ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.STOPPING;
    log.givenUp(exchange, kind);
    exchange.refuse(kind, kind.hasRetryAfter() ? Optional.of(RETRY_AFTER) : Optional.empty());
  }
}
