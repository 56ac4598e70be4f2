package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.usage.UsageWindows;

/**
 * Calls to the platform that one node makes for all.
 *
 * @param api where the platform takes them; empty where it asks for none
 * @param usageWindow length of the windows in which requests are counted; zero for no reports
 * @param usageLate how long after the end of a window its report is due
 */
public record DutySettings(Optional<NetworkAddress> api, Duration usageWindow, Duration usageLate) {

  private static final SettingDefinition<String> API =
      SettingDefinition.addresses(
          "duties.api", "", "Where the platform takes calls that one node makes for all.");

  private static final SettingDefinition<Duration> USAGE_WINDOW =
      SettingDefinition.duration(
          "duties.usage_window",
          Duration.ZERO,
          Duration.ZERO,
          Duration.ofHours(1),
          "Length of the windows in which requests are counted; zero for no reports.");

  private static final SettingDefinition<Duration> USAGE_LATE =
      SettingDefinition.duration(
          "duties.usage_late",
          Duration.ofSeconds(10),
          Duration.ofSeconds(1),
          Duration.ofHours(1),
          "How long after the end of a window its report is due.");

  static final List<SettingDefinition<?>> DEFINITIONS = List.of(API, USAGE_WINDOW, USAGE_LATE);

  static DutySettings from(SettingValues values) {
    String api = values.get(API);
    return new DutySettings(
        api.isEmpty() ? Optional.empty() : Optional.of(NetworkAddress.parse(api.split(",", 2)[0])),
        values.get(USAGE_WINDOW),
        values.get(USAGE_LATE));
  }

  /** The windows that are reported; empty where none are. */
  public Optional<UsageWindows> usage() {
    return api.isPresent() && !usageWindow.isZero()
        ? Optional.of(new UsageWindows(usageWindow, usageLate))
        : Optional.empty();
  }
}
