package org.fallturn.node.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.node.json.MalformedMessageException;

/**
 * Client that asks model engines for their reports and sends them stage orders. Each call blocks
 * its thread for a bounded time.
 */
final class EngineOrders {

  private static final long ORDER_TIMEOUT_MILLIS = 1_000;

  private final EngineClient engines;

  EngineOrders(EngineClient engines) {
    this.engines = engines;
  }

  /** Asks for an engine's report; empty when no answer comes, or an error or unreadable one. */
  Optional<EngineReport> report(ServingEngine engine) throws InterruptedException {
    try {
      ContentResponse answer = engines.newReport(engine).send();
      return answer.getStatus() == HttpStatus.OK_200
          ? Optional.of(engines.protocol().readReport(answer.getContent()))
          : Optional.empty();
    } catch (TimeoutException | ExecutionException | MalformedMessageException e) {
      return Optional.empty();
    }
  }

  /**
   * Sends an order.
   *
   * @return HTTP status of the answer; empty when none came, so the engine may have taken the order
   */
  OptionalInt send(ServingEngine engine, StageOrder order) throws InterruptedException {
    EngineProtocol protocol = engines.protocol();
    Request request =
        engines
            .newRequest(engine, HttpMethod.POST.asString(), protocol.orderPath())
            .headers(headers -> headers.add(protocol.addresseeHeaders(engine)))
            .body(new BytesRequestContent("application/json", protocol.orderBody(order)))
            .timeout(ORDER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    try {
      return OptionalInt.of(request.send().getStatus());
    } catch (TimeoutException | ExecutionException e) {
      return OptionalInt.empty();
    }
  }
}
