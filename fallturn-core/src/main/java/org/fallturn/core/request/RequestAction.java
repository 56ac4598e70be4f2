package org.fallturn.core.request;

import java.util.List;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.placement.EngineTarget;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.port.engine.GenerateRequest;
import org.fallturn.core.port.engine.PrefillRequest;
import org.fallturn.core.port.engine.TokenChunk;

/** Something the node must do for a request, in the order given. */
public sealed interface RequestAction {

  /**
   * Ask where the request should run.
   *
   * @param request the question; its attempt number comes back with the answer
   */
  record AskPlacement(PlacementRequest request) implements RequestAction {}

  /**
   * Hand in {@link RequestEvent.RetryDue} after a delay.
   *
   * @param delayMillis the delay
   */
  record ScheduleRetry(long delayMillis) implements RequestAction {}

  /**
   * Send the prompt to a prefill engine.
   *
   * @param attempt the attempt
   * @param target the engine
   * @param request what to send
   */
  record SendPrefill(int attempt, EngineTarget target, PrefillRequest request)
      implements RequestAction {}

  /**
   * Open a stream of tokens from a decode engine.
   *
   * @param attempt the attempt
   * @param target the engine
   * @param request what to send
   */
  record SendGenerate(int attempt, EngineTarget target, GenerateRequest request)
      implements RequestAction {}

  /**
   * Give the caller the next tokens of its answer.
   *
   * @param tokens never given before, without gap
   * @param finish why the answer ends with them, or NONE
   */
  record Deliver(List<String> tokens, TokenChunk.Finish finish) implements RequestAction {}

  /**
   * Drop the exchange with an engine and tell it to stop working on the request.
   *
   * @param attempt the attempt
   * @param target the engine
   */
  record Cancel(int attempt, EngineTarget target) implements RequestAction {}

  /**
   * Tell the pool's leader what became of a placement.
   *
   * @param progress the message
   */
  record Report(PlacementProgress progress) implements RequestAction {}

  /**
   * The request is over without a whole answer. Nothing follows.
   *
   * @param kind entry of the closed list
   * @param message one sentence for the caller
   * @param retryAfterMillis when coming back makes sense; 0 for no advice
   */
  record Fail(ErrorKind kind, String message, long retryAfterMillis) implements RequestAction {}

  /** The caller has its whole answer. Nothing follows. */
  record Complete() implements RequestAction {}

  /** The caller is gone; there is nobody to answer. Nothing follows. */
  record Abandon() implements RequestAction {}
}
