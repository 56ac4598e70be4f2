package org.fallturn.node.table;

import java.net.ConnectException;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.node.http.RemoteCallException;

/**
 * Tells apart failures after which the store certainly did not act from those after which a write
 * may have taken effect. Shared by the table's and the object store's adapter. Thread-safe.
 */
public final class StoreFailures {

  private static final int RATE_LIMITED = 429;
  private static final int UNAVAILABLE = 503;

  private StoreFailures() {}

  /** The failure of a call that got no answer, or an answer other than success. */
  public static StoreException of(String operation, RemoteCallException failure) {
    if (failure.status() != RemoteCallException.NO_STATUS) {
      return ofStatus(operation, failure.status(), failure);
    }
    return ofNoAnswer(operation, failure);
  }

  /** The failure of a call that was answered with a status other than success. */
  public static StoreException ofStatus(String operation, int status, Throwable cause) {
    boolean refused = status == RATE_LIMITED || status == UNAVAILABLE;
    return new StoreException(operation + " was answered with status " + status, !refused, cause);
  }

  /** The failure of a call that got no answer; only a refused connection proves no effect. */
  public static StoreException ofNoAnswer(String operation, Throwable failure) {
    return new StoreException(
        operation + " got no answer: " + failure.getMessage(),
        !isConnectionRefused(failure),
        failure);
  }

  private static boolean isConnectionRefused(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return true;
      }
    }
    return false;
  }
}
