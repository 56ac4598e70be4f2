package org.fallturn.node.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.fallturn.core.dispatch.ResumedStreams;

/**
 * The requests that wait until it is known where the streams began that they continue. Only the
 * dispatch thread calls.
 */
final class OriginWaits {

  private final ResumedStreams streams;
  private final Runnable confirmation;
  private final List<Exchange> waiting = new ArrayList<>();

  /**
   * Creates it.
   *
   * @param confirmation requests that the store confirms the list of engines
   */
  OriginWaits(ResumedStreams streams, Runnable confirmation) {
    this.streams = streams;
    this.confirmation = confirmation;
  }

  /** Has a request wait, if it has to; returns whether it does. */
  boolean add(Exchange exchange, long nowNanos) {
    if (!streams.awaitsOrigin(exchange.progress(), nowNanos)) {
      return false;
    }
    waiting.add(exchange);
    requestConfirmation(exchange, nowNanos);
    return true;
  }

  /**
   * Removes and returns the requests that need not wait any longer, and drops those that are over.
   *
   * @param pending whether a request is not over
   */
  List<Exchange> takeDue(Predicate<Exchange> pending, long nowNanos) {
    waiting.removeIf(pending.negate());
    List<Exchange> due =
        waiting.stream()
            .filter(exchange -> !streams.awaitsOrigin(exchange.progress(), nowNanos))
            .toList();
    waiting.removeAll(due);
    waiting.forEach(exchange -> requestConfirmation(exchange, nowNanos));
    return due;
  }

  /**
   * Again and again while the request waits: a reading may fail, or not have been needed before.
   */
  private void requestConfirmation(Exchange exchange, long nowNanos) {
    if (streams.lacksConfirmation(exchange.progress(), nowNanos)) {
      confirmation.run();
    }
  }
}
