package org.fallturn.core.scaling;

import org.fallturn.core.usage.DutyOutcome;

/** Port: the platform's API for ordering engines. Calls block their thread for a bounded time. */
public interface ScaleApi {

  /**
   * Sends an order. Sending exactly the same order again has no further effect.
   *
   * @param order the order
   * @param holder name of the node that holds the lease
   * @param fencingToken token of the lease, which rises each time it is taken
   */
  DutyOutcome scale(ScaleOrder order, String holder, long fencingToken) throws InterruptedException;
}
