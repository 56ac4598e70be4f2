package org.fallturn.node.gateway;

/** The log lines about requests that this node sends for other nodes. Thread-safe. */
final class ForwardingLog {

  private final DecisionLog log;

  ForwardingLog(DecisionLog log) {
    this.log = log;
  }

  void forwarding(String requestId, String engineId) {
    log.line(LogEvent.FORWARDING, "")
        .addKeyValue("request", requestId)
        .addKeyValue("engine", engineId)
        .log();
  }

  /**
   * Logs how such a request ended.
   *
   * @param connection local address of the connection to the engine; empty when it had none
   * @param givenUp why this node gave it up
   */
  void forwarded(
      String requestId,
      String engineId,
      String connection,
      ForwardingResult result,
      ForwardingEnd givenUp) {
    log.line(LogEvent.FORWARDED, result.name())
        .addKeyValue("request", requestId)
        .addKeyValue("engine", engineId)
        .addKeyValue("connection", connection)
        .addKeyValue("result", result)
        .addKeyValue("givenUp", givenUp)
        .log();
  }
}
