package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fallturn.core.dispatch.ErrorAnswer;
import org.fallturn.core.dispatch.NotRunProof;
import org.fallturn.core.dispatch.RequestProgress;
import org.fallturn.core.error.ErrorKind;

/**
 * Answers the pending requests of a dispatch duty that failed, or one request on which it failed,
 * so that they do not wait for their deadlines. Never calls the dispatcher, whose state is unknown
 * after the failure. Runs on the dispatch thread.
 *
 * <p>Invariant: a request is answered as not run only with the proof of its own record. An answer
 * that is already being relayed does not need the duty any more and continues.
 */
final class PendingRequestTerminator {

  /** Short, since the caller's retry goes to another node. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(300);

  private final EngineClient engines;
  private final DecisionLog log;

  PendingRequestTerminator(EngineClient engines, DecisionLog log) {
    this.engines = engines;
    this.log = log;
  }

  /**
   * Terminates all pending requests; aborts those that cannot be answered. Those that wait for a
   * connection come first: each that is aborted at its engine would let one of them begin.
   */
  void terminate(Set<Exchange> active) {
    IllegalStateException failed = new IllegalStateException("requests could not be answered");
    List<Exchange> unsentFirst =
        active.stream()
            .sorted(Comparator.comparing(PendingRequestTerminator::isMaybeSent))
            .toList();
    for (Exchange exchange : unsentFirst) {
      try {
        terminate(exchange);
      } catch (Throwable fault) {
        failed.addSuppressed(fault);
        exchange.abort();
      }
    }
    if (failed.getSuppressed().length > 0) {
      throw failed;
    }
  }

  private static boolean isMaybeSent(Exchange exchange) {
    return exchange.attempt().filter(EngineAttempt::maybeSent).isPresent();
  }

  /** Handles an event that the duty did not handle, or failed on. */
  void onUnhandledEvent(DispatchEvent event) {
    if (event instanceof DispatchEvent.Arrived arrived) {
      terminate(arrived.exchange());
    } else if (event instanceof DispatchEvent.Prefilled prefilled) {
      engines.freeHandle(prefilled.attempt().call().engine(), prefilled.handle());
      refuse(prefilled.exchange(), prefilled.exchange().progress().notRunProof());
    } else if (event instanceof DispatchEvent.AttemptFailed failed) {
      if (failed.exchange().attempt().filter(present -> present == failed.attempt()).isPresent()) {
        refuse(failed.exchange(), failed.exchange().progress().notRunProofAfter(failed.outcome()));
      }
    } else if (event instanceof DispatchEvent.Finished finished) {
      log.finished(finished.exchange(), System.nanoTime());
    } else if (event instanceof DispatchEvent.CallerGone gone) {
      log.callerGone(gone.exchange());
      gone.exchange().attempt().ifPresent(attempt -> attempt.cancel("the caller left"));
      gone.exchange().abort();
    }
  }

  /**
   * Terminates a request; leaves one alone whose answer is being relayed, or whose attempt has
   * ended, so that its event follows.
   */
  void terminate(Exchange exchange) {
    EngineAttempt attempt = exchange.attempt().orElse(null);
    RequestProgress progress = exchange.progress();
    if (attempt == null) {
      refuse(exchange, progress.notRunProof());
    } else if (attempt.cancelled() || attempt.waiting() && attempt.cancel("the node ends")) {
      refuse(exchange, progress.notRunProofAfter(attempt.outcomeOfCancel()));
    }
  }

  private void refuse(Exchange exchange, Optional<NotRunProof> proof) {
    if (exchange.isCompleted()) {
      return;
    }
    ErrorAnswer answer =
        ErrorAnswer.of(
            proof, ErrorKind.STOPPING, Optional.of(RETRY_AFTER), ErrorKind.OUTCOME_UNKNOWN);
    log.givenUp(exchange, answer);
    exchange.refuse(answer, "");
  }
}
