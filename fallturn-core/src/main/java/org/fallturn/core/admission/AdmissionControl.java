package org.fallturn.core.admission;

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
}
