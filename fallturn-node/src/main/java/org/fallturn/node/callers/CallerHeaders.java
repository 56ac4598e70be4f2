package org.fallturn.node.callers;

import java.util.Locale;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.fallturn.core.configuration.ServiceRecord;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;

/**
 * What a caller says of its request in headers.
 *
 * @param deadlineMillis the deadline asked for, if any
 * @param urgency the urgency asked for
 * @param idempotencyKey the key under which a retry finds the first answer, if any
 */
record CallerHeaders(
    Optional<Long> deadlineMillis, Urgency urgency, Optional<String> idempotencyKey) {

  private static final String DEADLINE = "X-Deadline-Millis";
  private static final String URGENCY = "X-Urgency";
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  private static final int MAX_KEY_LENGTH = 256;

  /** Reads the headers; a malformed one is an INVALID_REQUEST that names it. */
  static CallerHeaders read(HttpFields fields) throws FallturnException {
    return new CallerHeaders(
        deadline(fields.get(DEADLINE)),
        urgency(fields.get(URGENCY)),
        key(fields.get(IDEMPOTENCY_KEY)));
  }

  /** The deadline within the service's bounds. */
  long deadlineMillisFor(ServiceRecord service) {
    long asked = deadlineMillis.orElse(service.defaultDeadlineMillis());
    return Math.min(asked, service.maxDeadlineMillis());
  }

  /** The urgency lowered to the highest one allowed. */
  Urgency urgencyUpTo(Urgency allowed) {
    return urgency.compareTo(allowed) > 0 ? allowed : urgency;
  }

  private static Optional<Long> deadline(String text) throws FallturnException {
    if (text == null) {
      return Optional.empty();
    }
    try {
      long millis = Long.parseLong(text.trim());
      if (millis > 0) {
        return Optional.of(millis);
      }
    } catch (NumberFormatException e) {
      throw invalid(DEADLINE, "a whole number of milliseconds above 0", e);
    }
    throw invalid(DEADLINE, "a whole number of milliseconds above 0", null);
  }

  private static Urgency urgency(String text) throws FallturnException {
    if (text == null) {
      return Urgency.NORMAL;
    }
    try {
      return Urgency.valueOf(text.trim().toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw invalid(URGENCY, "batch, normal, high or emergency", e);
    }
  }

  private static Optional<String> key(String text) throws FallturnException {
    if (text == null) {
      return Optional.empty();
    }
    if (text.isBlank() || text.length() > MAX_KEY_LENGTH) {
      throw invalid(IDEMPOTENCY_KEY, "1 to " + MAX_KEY_LENGTH + " characters", null);
    }
    return Optional.of(text);
  }

  private static FallturnException invalid(String header, String allowed, Throwable cause) {
    return new FallturnException(
        ErrorKind.INVALID_REQUEST, "header " + header + " must be " + allowed, cause);
  }
}
