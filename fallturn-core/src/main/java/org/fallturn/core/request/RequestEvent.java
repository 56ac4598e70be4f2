package org.fallturn.core.request;

import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.TokenChunk;

/**
 * Something that happened to a request. Events of an attempt carry its number; those of an earlier
 * attempt have no effect.
 */
public sealed interface RequestEvent {

  /**
   * The placement service answered.
   *
   * @param attempt the attempt that asked
   * @param answer where to run, or why not
   */
  record PlacementAnswered(int attempt, PlacementAnswer answer) implements RequestEvent {}

  /**
   * The placement service could not answer.
   *
   * @param attempt the attempt that asked
   * @param message one sentence for the log
   */
  record PlacementFailed(int attempt, String message) implements RequestEvent {}

  /**
   * The prefill engine has computed the prompt.
   *
   * @param attempt the attempt
   * @param answer the engine's answer
   */
  record PrefillAnswered(int attempt, PrefillAnswer answer) implements RequestEvent {}

  /**
   * The prefill engine did not compute the prompt.
   *
   * @param attempt the attempt
   * @param failure why
   */
  record PrefillFailed(int attempt, AttemptFailure failure) implements RequestEvent {}

  /**
   * The decode engine sent tokens.
   *
   * @param attempt the attempt
   * @param chunk the tokens, not yet checked
   */
  record ChunkReceived(int attempt, TokenChunk chunk) implements RequestEvent {}

  /**
   * The decode engine's stream ended, with or without an end of the answer.
   *
   * @param attempt the attempt
   */
  record DecodeEnded(int attempt) implements RequestEvent {}

  /**
   * The decode engine's stream failed.
   *
   * @param attempt the attempt
   * @param failure why
   */
  record DecodeFailed(int attempt, AttemptFailure failure) implements RequestEvent {}

  /** The request's deadline has passed. */
  record DeadlinePassed() implements RequestEvent {}

  /** The caller went away. */
  record CallerGone() implements RequestEvent {}

  /** The delay of {@link RequestAction.ScheduleRetry} is over. */
  record RetryDue() implements RequestEvent {}
}
