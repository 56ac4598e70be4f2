package org.fallturn.node.gateway;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/**
 * Carries out a step for each of several requests. A request whose step fails is ended, and the
 * others follow all the same. Only the dispatch thread calls.
 */
final class RequestSteps {

  private final Consumer<Exchange> endAfterFault;

  /**
   * Creates it.
   *
   * @param endAfterFault ends a request whose state is unknown after a fault
   */
  RequestSteps(Consumer<Exchange> endAfterFault) {
    this.endAfterFault = endAfterFault;
  }

  /** Throws the first fault once the step has been tried for each request. */
  void forEach(Collection<Exchange> requests, Consumer<Exchange> step) {
    RuntimeException failed = null;
    for (Exchange exchange : List.copyOf(requests)) {
      try {
        step.accept(exchange);
      } catch (RuntimeException fault) {
        endAfterFault.accept(exchange);
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
}
