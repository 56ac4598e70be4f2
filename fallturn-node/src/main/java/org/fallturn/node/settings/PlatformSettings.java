package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;
import org.fallturn.core.domain.NetworkAddress;

/**
 * Where the platform's services are.
 *
 * @param table transactional table service
 * @param objectStore object store
 * @param machines list of live and leaving machines
 * @param callTimeout how long a call to the platform may take
 * @param machinesInterval how often the machine list is read
 */
public record PlatformSettings(
    NetworkAddress table,
    NetworkAddress objectStore,
    NetworkAddress machines,
    Duration callTimeout,
    Duration machinesInterval) {

  private static final SettingDefinition<NetworkAddress> TABLE =
      SettingDefinition.address("platform.table", "127.0.0.1:7000", "Transactional table service.");

  private static final SettingDefinition<NetworkAddress> OBJECT_STORE =
      SettingDefinition.address("platform.object_store", "127.0.0.1:7000", "Object store.");

  private static final SettingDefinition<NetworkAddress> MACHINES =
      SettingDefinition.address(
          "platform.machines", "127.0.0.1:7000", "List of live and leaving machines.");

  private static final SettingDefinition<Duration> CALL_TIMEOUT =
      SettingDefinition.duration(
          "platform.call_timeout",
          Duration.ofSeconds(2),
          Duration.ofMillis(50),
          Duration.ofSeconds(60),
          "How long a call to the platform may take.");

  private static final SettingDefinition<Duration> MACHINES_INTERVAL =
      SettingDefinition.duration(
          "platform.machines_interval",
          Duration.ofSeconds(1),
          Duration.ofMillis(50),
          Duration.ofSeconds(60),
          "How often the machine list is read.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(TABLE, OBJECT_STORE, MACHINES, CALL_TIMEOUT, MACHINES_INTERVAL);

  static PlatformSettings from(SettingValues values) {
    return new PlatformSettings(
        values.get(TABLE),
        values.get(OBJECT_STORE),
        values.get(MACHINES),
        values.get(CALL_TIMEOUT),
        values.get(MACHINES_INTERVAL));
  }
}
