package org.fallturn.node.server;

import org.fallturn.core.admission.AdmissionControl;
import org.fallturn.core.admission.AdmissionTicket;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;

/** Admits every request; for a node that keeps no tenant limits. */
final class UnlimitedAdmission implements AdmissionControl {

  private static final AdmissionTicket TICKET = new UnlimitedTicket();

  @Override
  public AdmissionTicket admit(TenantName tenant, ServiceName service, long tokens) {
    return TICKET;
  }

  /** Holds nothing. */
  private static final class UnlimitedTicket implements AdmissionTicket {

    @Override
    public void placed() {
      // Nothing is held.
    }

    @Override
    public void finished(long usedTokens) {
      // Nothing is held.
    }
  }
}
