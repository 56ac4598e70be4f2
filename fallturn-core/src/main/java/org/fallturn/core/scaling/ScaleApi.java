package org.fallturn.core.scaling;

import org.fallturn.core.usage.DutyOutcome;

/** Port: the platform's API that takes orders for engines. Blocks its thread for a bounded time. */
public interface ScaleApi {

  /**
   * Gives an order; an exact repeat does no harm.
   *
   * @param holder node that has the duty
   * @param fencingToken rises with each holder
   */
  DutyOutcome scale(ScaleOrder order, String holder, long fencingToken) throws InterruptedException;
}
