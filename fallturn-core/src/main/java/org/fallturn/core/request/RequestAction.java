package org.fallturn.core.request;

import java.util.List;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.placement.EngineTarget;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.port.engine.GenerateRequest;
import org.fallturn.core.port.engine.PrefillRequest;
import org.fallturn.core.port.engine.TokenChunk;

/**
 * An action that {@link RequestStateMachine} returns; the node performs the actions in the order of
 * the returned list.
 */
public sealed interface RequestAction {

  /**
   * Ask the placement service which engines should run the request.
   *
   * @param request the query; the answer's event must carry its attempt number
   */
  record AskPlacement(PlacementRequest request) implements RequestAction {}

  /**
   * Schedule a {@link RequestEvent.RetryDue} event, with which placement is tried again.
   *
   * @param delayMillis delay until the event, in ms
   */
  record ScheduleRetry(long delayMillis) implements RequestAction {}

  /**
   * Send the prompt to a prefill engine.
   *
   * @param attempt number of the attempt, from 0
   * @param target the engine
   * @param request the message to send
   */
  record SendPrefill(int attempt, EngineTarget target, PrefillRequest request)
      implements RequestAction {}

  /**
   * Open a stream of tokens from a decode engine.
   *
   * @param attempt number of the attempt, from 0
   * @param target the engine
   * @param request the message to send
   */
  record SendGenerate(int attempt, EngineTarget target, GenerateRequest request)
      implements RequestAction {}

  /**
   * Deliver to the caller the next tokens of its answer.
   *
   * @param tokens tokens that follow directly on those delivered before
   * @param finish why the answer ends after these tokens, or NONE if it goes on
   */
  record Deliver(List<String> tokens, TokenChunk.Finish finish) implements RequestAction {}

  /**
   * Close the exchange with an engine and tell the engine to cancel the request.
   *
   * @param attempt number of the attempt, from 0
   * @param target the engine
   */
  record Cancel(int attempt, EngineTarget target) implements RequestAction {}

  /**
   * Report the progress of a placement to the pool's leader.
   *
   * @param progress the message
   */
  record Report(PlacementProgress progress) implements RequestAction {}

  /**
   * End the request with an error, before its answer is complete. No action follows.
   *
   * @param kind error kind to answer the caller with
   * @param message one sentence for the caller
   * @param retryAfterMillis time in ms after which the caller may retry; 0 to suggest none
   */
  record Fail(ErrorKind kind, String message, long retryAfterMillis) implements RequestAction {}

  /** End the request: the caller has the complete answer. No action follows. */
  record Complete() implements RequestAction {}

  /** End the request without an answer, because the caller has disconnected. No action follows. */
  record Abandon() implements RequestAction {}
}
