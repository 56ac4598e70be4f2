package org.fallturn.node.gateway;

import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.clock.WallClock;
import org.fallturn.core.usage.UsageAgreement;
import org.fallturn.core.usage.UsageWindows;
import org.fallturn.node.duty.FaultListener;
import org.fallturn.node.settings.GatewaySettings;

/**
 * The parts of a gateway that report usage: the duty that sends the reports, and the tally on the
 * dispatch thread that has them sent. Both go by one clock. Thread-safe.
 */
final class UsageReporting implements AutoCloseable {

  private final GatewaySettings settings;
  private final UsageWindows windows;
  private final WallClock clock = new WallClock(System::nanoTime, System::currentTimeMillis);
  private final UsageDuty duty;

  /**
   * Creates the parts; the duty is not started.
   *
   * @param control calls the store and the platform's API
   */
  UsageReporting(
      GatewaySettings settings,
      UsageWindows windows,
      GatewayPlatform platform,
      HttpClient control,
      DutyContext duties) {
    this.settings = settings;
    this.windows = windows;
    this.duty =
        new UsageDuty(
            duties,
            new UsageAgreement(platform.usage().create(control), windows, clock::unixMillis),
            platform.usageApi().create(control, settings.duties().api().orElseThrow()));
  }

  /** Creates the tally, for the dispatch thread. */
  RunCounter newTally(UsageTally.Fleet fleet) {
    return new UsageTally(windows, clock, settings.firstStart(), fleet, duty::offer);
  }

  /**
   * Starts the thread of the duty.
   *
   * @param faults receives what the duty does not catch
   */
  void start(FaultListener faults) {
    duty.start(faults);
  }

  @Override
  public void close() {
    duty.close();
  }
}
