package org.fallturn.node.http;

/** A call to another process gave no usable answer. */
public class RemoteCallException extends Exception {

  /** Status when no HTTP answer came at all. */
  public static final int NO_STATUS = 0;

  private final int status;
  private final String body;

  /**
   * A failed call.
   *
   * @param status HTTP status, or {@link #NO_STATUS}
   * @param body body of the answer, or empty
   */
  public RemoteCallException(String message, int status, String body, Throwable cause) {
    super(message, cause);
    this.status = status;
    this.body = body;
  }

  /** HTTP status, or {@link #NO_STATUS} when no answer came. */
  public int status() {
    return status;
  }

  /** Body of the answer, or empty. */
  public String body() {
    return body;
  }
}
