package org.fallturn.node.gateway;

import java.net.ConnectException;
import java.util.OptionalLong;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.node.json.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a call for an engine's report shows of it. */
enum EngineLiveness {
  /** It answered, so it ran after the call had begun. */
  RUNS,
  /**
   * Its address refuses connections, or another engine or a later incarnation of it answers there.
   */
  GONE,
  /** There was no answer, or one that does not say which start it is of; this proves nothing. */
  UNKNOWN;

  private static final Logger LOG = LoggerFactory.getLogger(EngineLiveness.class);

  /**
   * Reads the outcome of a call.
   *
   * @param body the body of the answer; empty if there was none
   */
  static EngineLiveness of(
      ServingEngine engine, Result result, byte[] body, EngineProtocol protocol) {
    if (result.isFailed()) {
      return result.getFailure() instanceof ConnectException ? GONE : UNKNOWN;
    }
    return switch (result.getResponse().getStatus()) {
      case HttpStatus.MISDIRECTED_REQUEST_421 -> GONE;
      case HttpStatus.OK_200 -> ofReport(engine, body, protocol);
      default -> engine.bornMillis().isPresent() ? UNKNOWN : RUNS;
    };
  }

  /** An engine that restarted under the same id differs only in its start time. */
  private static EngineLiveness ofReport(
      ServingEngine engine, byte[] body, EngineProtocol protocol) {
    try {
      OptionalLong bornMillis = protocol.readReport(body).bornMillis();
      if (engine.isOtherIncarnation(bornMillis)) {
        return GONE;
      }
      return engine.bornMillis().isPresent() && bornMillis.isEmpty() ? UNKNOWN : RUNS;
    } catch (MalformedMessageException e) {
      LOG.warn("engines: The report of {} is not readable: {}.", engine.id(), e.getMessage());
      return engine.bornMillis().isPresent() ? UNKNOWN : RUNS;
    }
  }
}
