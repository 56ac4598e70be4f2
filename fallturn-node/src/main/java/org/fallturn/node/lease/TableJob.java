package org.fallturn.node.lease;

import org.fallturn.core.lease.LeaseAction;

/** Work for a duty that owns traffic with the table. */
sealed interface TableJob {

  /** Read lease rows. */
  record Read(LeaseAction.ReadRows rows) implements TableJob {}

  /** Write lease rows. */
  record Write(LeaseAction.WriteRows rows) implements TableJob {}

  /** Read every pool's demand for weight loads. */
  record ScanDemands() implements TableJob {}
}
