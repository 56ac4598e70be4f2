package org.fallturn.core.error;

import java.time.Duration;
import java.util.Optional;

/** The checked exception that carries an {@link ErrorKind} to whoever answers. */
public class FallturnException extends Exception {

  private final ErrorKind kind;
  private final transient Duration retryAfter;

  /** An error without advice on when to come back. */
  public FallturnException(ErrorKind kind, String message) {
    this(kind, message, null, null);
  }

  /** An error with its cause. */
  public FallturnException(ErrorKind kind, String message, Throwable cause) {
    this(kind, message, null, cause);
  }

  /**
   * An error with every part.
   *
   * @param retryAfter when to come back, or null for no advice
   * @param cause may be null
   */
  public FallturnException(ErrorKind kind, String message, Duration retryAfter, Throwable cause) {
    super(message, cause);
    this.kind = kind;
    this.retryAfter = retryAfter;
  }

  /** Which entry of the closed list this is. */
  public ErrorKind kind() {
    return kind;
  }

  /** When the caller should come back. */
  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfter);
  }
}
