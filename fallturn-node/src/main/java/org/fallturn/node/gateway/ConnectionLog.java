package org.fallturn.node.gateway;

import org.eclipse.jetty.client.Connection;
import org.fallturn.core.routing.ServingEngine;

/** The log lines about what comes and goes over connections to engines. Thread-safe. */
final class ConnectionLog {

  private final DecisionLog log;

  ConnectionLog(DecisionLog log) {
    this.log = log;
  }

  /**
   * Logs that an answer does not name the request it came for.
   *
   * @param connection local address of the connection that it came over
   */
  void answerOfAnother(
      ServingEngine engine, String requestId, EngineAnswerHead head, String connection) {
    log.line(LogEvent.ANSWER_OF_ANOTHER, head.saysNotRun() ? "refusal" : "other")
        .addKeyValue("request", requestId)
        .addKeyValue("engine", engine.id())
        .addKeyValue("connection", connection)
        .addKeyValue("named", LogTexts.shortened(head.requestId()))
        .addKeyValue("status", head.status())
        .log();
  }

  /**
   * Logs that a connection which has carried a request was to carry one with its id.
   *
   * @param closes whether it is closed, since no other one is to be had
   */
  void idRepeated(String requestId, Connection connection, boolean closes) {
    log.line(LogEvent.ID_REPEATED, "")
        .addKeyValue("request", requestId)
        .addKeyValue("address", connection.getRemoteSocketAddress())
        .addKeyValue("connection", LogTexts.connection(connection))
        .addKeyValue("closes", closes)
        .log();
  }
}
