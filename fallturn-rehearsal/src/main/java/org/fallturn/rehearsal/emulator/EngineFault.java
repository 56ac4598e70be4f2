package org.fallturn.rehearsal.emulator;

/** How an emulated engine misbehaves with a request. */
public enum EngineFault {
  /** It answers. */
  NONE,
  /** It says that it did not run the request. */
  REJECT,
  /** It runs the request and answers 500, signed. */
  FAIL,
  /** It runs the request and closes the connection without an answer. */
  LOSE_ANSWER,
  /** It runs the request and breaks off inside the second event, or inside the body. */
  BREAK_MIDWAY,
  /** It runs the request; its answer without a length is reset on the way. */
  RESET_WITHOUT_LENGTH,
  /** It runs the request and closes the connection after the head of its answer. */
  HEAD_ONLY,
  /** It runs the request and says nothing. */
  SILENT,
  /** Its answer names another request. */
  WRONG_REQUEST,
  /** Its success lacks the mark of its own answers. */
  UNSIGNED,
  /** It claims 503 without saying that it did not run the request. */
  UNAVAILABLE_BUT_RAN,
  /** It runs the request and sends bytes that are no answer, without end. */
  ENDLESS
}
