package org.fallturn.node.callers;

import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.fallturn.core.admission.AdmissionTicket;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;

/**
 * Asks for admission before anything is written or sent for a request, so that a caller over its
 * limit costs no one else anything. Thread-safe.
 */
final class CallerAdmission {

  private CallerAdmission() {}

  /** Goes on with the ticket, or refuses the caller. */
  static void admit(
      CallerServices services,
      CallerRequest caller,
      TenantName tenant,
      ServiceName service,
      long tokens,
      Consumer<AdmissionTicket> next) {
    services
        .admission()
        .admitSoon(tenant, service, tokens)
        .whenComplete(
            (ticket, failure) -> {
              if (failure != null) {
                services.refuse(caller, asKnown(failure));
              } else {
                next.accept(ticket);
              }
            });
  }

  private static FallturnException asKnown(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof FallturnException known
        ? known
        : new FallturnException(ErrorKind.NO_CAPACITY, "admission failed", cause);
  }
}
