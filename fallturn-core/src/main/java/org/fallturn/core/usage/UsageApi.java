package org.fallturn.core.usage;

/**
 * Port to the platform's API that accepts usage reports. Calls block the calling thread for a
 * bounded time.
 */
public interface UsageApi {

  /**
   * Reports the counts of one window. The call is idempotent: an exact repeat has no effect.
   *
   * @param holder name of the node that holds the duty of reporting
   * @param fencingToken number that increases with each new holder, so that the platform can reject
   *     a former one
   */
  DutyOutcome report(UsageReport report, String holder, long fencingToken)
      throws InterruptedException;
}
