package org.fallturn.core.admission;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.error.FallturnException;

/**
 * Port through which a request is checked against its tenant's limits. Thread-safe, never blocks.
 */
public interface AdmissionControl {

  /**
   * Admits a request or refuses it.
   *
   * @param tokens prompt tokens plus the most output tokens it may generate; 0 for applications
   * @throws FallturnException LIMIT_REACHED with advice on when to come back
   */
  AdmissionTicket admit(TenantName tenant, ServiceName service, long tokens)
      throws FallturnException;

  /**
   * Admits a request or refuses it, after waiting for a moment for the tenant's share of its limit
   * where that may help. A request over its tenant's limit is refused at once.
   *
   * @return the ticket, or a failure with the {@link FallturnException}
   */
  default CompletionStage<AdmissionTicket> admitSoon(
      TenantName tenant, ServiceName service, long tokens) {
    try {
      return CompletableFuture.completedFuture(admit(tenant, service, tokens));
    } catch (FallturnException e) {
      return CompletableFuture.failedFuture(e);
    }
  }
}
