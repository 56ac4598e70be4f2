package org.fallturn.core.request;

import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.TokenChunk;

/**
 * An event that the node passes to {@link RequestStateMachine}. Events of an attempt carry its
 * number. An event of an earlier attempt changes nothing; a placement that arrives late is reported
 * as abandoned.
 */
public sealed interface RequestEvent {

  /**
   * The placement service answered.
   *
   * @param attempt number of the attempt that asked
   * @param answer the engines to use, or the reason why there are none
   */
  record PlacementAnswered(int attempt, PlacementAnswer answer) implements RequestEvent {}

  /**
   * The placement service could not answer.
   *
   * @param attempt number of the attempt that asked
   * @param message one sentence for the log
   */
  record PlacementFailed(int attempt, String message) implements RequestEvent {}

  /**
   * The prefill engine has computed the prompt.
   *
   * @param attempt number of the attempt
   * @param answer the engine's answer
   */
  record PrefillAnswered(int attempt, PrefillAnswer answer) implements RequestEvent {}

  /**
   * The prefill engine did not compute the prompt.
   *
   * @param attempt number of the attempt
   * @param failure the reason
   */
  record PrefillFailed(int attempt, AttemptFailure failure) implements RequestEvent {}

  /**
   * The decode engine sent tokens.
   *
   * @param attempt number of the attempt
   * @param chunk the tokens, not yet checked
   */
  record ChunkReceived(int attempt, TokenChunk chunk) implements RequestEvent {}

  /**
   * The decode engine's stream ended, whether or not the answer was complete.
   *
   * @param attempt number of the attempt
   */
  record DecodeEnded(int attempt) implements RequestEvent {}

  /**
   * The decode engine's stream failed.
   *
   * @param attempt number of the attempt
   * @param failure the reason
   */
  record DecodeFailed(int attempt, AttemptFailure failure) implements RequestEvent {}

  /** The request's deadline has passed. */
  record DeadlinePassed() implements RequestEvent {}

  /** The caller disconnected. */
  record CallerGone() implements RequestEvent {}

  /** The delay of {@link RequestAction.ScheduleRetry} is over. */
  record RetryDue() implements RequestEvent {}
}
