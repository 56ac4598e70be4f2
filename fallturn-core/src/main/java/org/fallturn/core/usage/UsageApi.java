package org.fallturn.core.usage;

/** Port: the platform's API that takes usage reports. Blocks its thread for a bounded time. */
public interface UsageApi {

  /**
   * Reports one window; an exact repeat does no harm.
   *
   * @param holder node that has the duty
   * @param fencingToken rises with each holder
   */
  DutyOutcome report(UsageReport report, String holder, long fencingToken)
      throws InterruptedException;
}
