package org.fallturn.node.http;

import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.Outcome;

/**
 * Body of every error answer.
 *
 * @param error the error
 */
public record ErrorBody(Detail error) {

  /**
   * The error itself.
   *
   * @param kind entry of the closed list
   * @param outcome what the caller may conclude about the work
   * @param message one sentence that names the culprit
   * @param requestId the request it answers; empty where there is none
   */
  public record Detail(ErrorKind kind, Outcome outcome, String message, String requestId) {}

  /** An error body for a kind. */
  public static ErrorBody of(ErrorKind kind, String message, String requestId) {
    return new ErrorBody(new Detail(kind, kind.outcome(), message, requestId));
  }
}
