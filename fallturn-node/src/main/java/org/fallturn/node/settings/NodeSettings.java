package org.fallturn.node.settings;

import java.util.List;
import java.util.stream.Stream;

/**
 * Every setting of a node. Immutable.
 *
 * @param identity who this process is and how it stops
 * @param log format and level of the log on standard output
 * @param platform where the platform's services are
 * @param callers the port for callers and its limits
 * @param operators the port for operators and its limits
 * @param peers the port for the other nodes
 * @param gossip membership by gossip over UDP
 * @param lease leadership of pools
 * @param placement placement of requests on engines
 * @param configuration distribution of the accepted configuration
 * @param admission tenant limits over the fleet
 * @param tls encryption of the callers' and operators' ports
 */
public record NodeSettings(
    IdentitySettings identity,
    LogSettings log,
    PlatformSettings platform,
    CallersSettings callers,
    OperatorsSettings operators,
    PeersSettings peers,
    GossipSettings gossip,
    LeaseSettings lease,
    PlacementSettings placement,
    ConfigurationSettings configuration,
    AdmissionSettings admission,
    TlsSettings tls) {

  private static final List<SettingDefinition<?>> DEFINITIONS =
      Stream.of(
              IdentitySettings.DEFINITIONS,
              LogSettings.DEFINITIONS,
              PlatformSettings.DEFINITIONS,
              CallersSettings.DEFINITIONS,
              OperatorsSettings.DEFINITIONS,
              PeersSettings.DEFINITIONS,
              GossipSettings.DEFINITIONS,
              LeaseSettings.DEFINITIONS,
              PlacementSettings.DEFINITIONS,
              ConfigurationSettings.DEFINITIONS,
              AdmissionSettings.DEFINITIONS,
              TlsSettings.DEFINITIONS)
          .flatMap(List::stream)
          .<SettingDefinition<?>>map(definition -> definition)
          .toList();

  /** The definition of every setting, section by section. */
  public static List<SettingDefinition<?>> definitions() {
    return DEFINITIONS;
  }

  /** A reader that knows every setting of a node. */
  public static SettingsReader reader() {
    return new SettingsReader(DEFINITIONS);
  }

  /** The records made from values that were read. */
  public static NodeSettings from(SettingValues values) {
    return new NodeSettings(
        IdentitySettings.from(values),
        LogSettings.from(values),
        PlatformSettings.from(values),
        CallersSettings.from(values),
        OperatorsSettings.from(values),
        PeersSettings.from(values),
        GossipSettings.from(values),
        LeaseSettings.from(values),
        PlacementSettings.from(values),
        ConfigurationSettings.from(values),
        AdmissionSettings.from(values),
        TlsSettings.from(values));
  }

  /** Every setting at its default. */
  public static NodeSettings defaults() {
    return from(SettingValues.defaults());
  }
}
