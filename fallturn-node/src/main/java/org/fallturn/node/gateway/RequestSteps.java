package org.fallturn.node.gateway;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/**
 * Carries out a step for each of several requests. A request whose step fails is ended, and the
 * others follow all the same. Only the dispatch thread calls.
 */
final class RequestSteps {

  private final Consumer<Exchange> end;

  /**
   * Creates it.
   *
   * @param end ends a request whose state is unknown after a fault
   */
  RequestSteps(Consumer<Exchange> end) {
    this.end = end;
  }

  /** Throws the first fault once the step has been tried for each request. */
  void forEach(Collection<Exchange> requests, Consumer<Exchange> step) {
    RuntimeException failed = null;
    for (Exchange exchange : List.copyOf(requests)) {
      try {
        step.accept(exchange);
      } catch (RuntimeException fault) {
        endAfterFault(exchange, fault, () -> {});
        if (failed == null) {
          failed = fault;
        } else {
          failed.addSuppressed(fault);
        }
      }
    }
    if (failed != null) {
      throw failed;
    }
  }

  /**
   * Ends a request. What fails at that is added to the fault as suppressed, and the caller's
   * connection closed.
   *
   * @param before what is to be done first
   */
  void endAfterFault(Exchange exchange, RuntimeException fault, Runnable before) {
    try {
      before.run();
      end.accept(exchange);
    } catch (RuntimeException second) {
      fault.addSuppressed(second);
      exchange.abort();
    }
  }
}
