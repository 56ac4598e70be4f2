package org.fallturn.node.gateway;

import java.util.Optional;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.fallturn.core.routing.ServingEngine;

/**
 * Ends answers that name another request than the one they came for: bytes behind an earlier answer
 * look like that. The connection ends with the answer, since an engine works on the request while
 * it is connected. Thread-safe.
 */
final class AnswerOwnership {

  private final EngineProtocol protocol;
  private final ConnectionLog log;

  AnswerOwnership(EngineProtocol protocol, ConnectionLog log) {
    this.protocol = protocol;
    this.log = log;
  }

  /**
   * Reads the head of an answer to a request; empty if the answer does not name it, and is aborted.
   *
   * @param headers those of the answer that concern the request
   */
  Optional<EngineAnswerHead> readOwn(
      Response answer, HttpFields headers, ServingEngine engine, String requestId) {
    EngineAnswerHead head = protocol.readHead(answer.getStatus(), headers);
    if (head.names(requestId)) {
      return Optional.of(head);
    }
    answer.abort(new IllegalStateException("the answer does not name the request"));
    log.answerOfAnother(engine, requestId, head, LogTexts.connection(answer.getRequest()));
    return Optional.empty();
  }

  /** Ends the answer to a call of this node's own, which has no id, if it names a request. */
  void endUnlessOfOwnCall(Response answer, ServingEngine engine) {
    readOwn(answer, answer.getHeaders(), engine, EngineClient.NO_REQUEST);
  }
}
