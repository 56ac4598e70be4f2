package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.fallturn.core.dispatch.DispatchParameters;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.peers.PeerInfo;
import org.fallturn.core.scaling.ScaleParameters;

/**
 * Every setting of a gateway process: a node whose routes, engines and lasting state come from the
 * store of the platform it runs on. Immutable.
 *
 * @param nodeName name of this process, unique among the nodes
 * @param zone zone it stands in
 * @param callers where callers connect
 * @param readiness where readiness is asked for
 * @param peers UDP address at which other nodes tell their load
 * @param advertised where other nodes reach the address of {@code peers}, if not there
 * @param seeds addresses of some other nodes, by any of their ports
 * @param metricsPort port of the metrics on the same host; 0 for none
 * @param firstStart whether the whole system starts for the first time
 * @param machine the machine that the process runs on
 * @param store address of the store
 * @param bounds what the operators of the platform promise and ask for
 * @param dispatch constants of the dispatcher
 * @param stages when engines change their stage
 * @param duties calls to the platform that one node makes for all
 * @param scaling whether and how engines are ordered
 * @param log the log on standard output
 */
public record GatewaySettings(
    String nodeName,
    String zone,
    NetworkAddress callers,
    NetworkAddress readiness,
    NetworkAddress peers,
    Optional<NetworkAddress> advertised,
    List<NetworkAddress> seeds,
    int metricsPort,
    boolean firstStart,
    MachineSettings machine,
    NetworkAddress store,
    GatewayBounds bounds,
    DispatchSettings dispatch,
    StageSettings stages,
    DutySettings duties,
    ScaleSettings scaling,
    LogSettings log) {

  /** Part of the drain bound in which a leaving engine is a last resort. */
  private static final int LAST_RESORT_PERCENT = 70;

  private static final int PERCENT = 100;
  private static final int MAX_PORT = 65_535;

  private static final SettingDefinition<String> NODE_NAME =
      SettingDefinition.name("gateway.node_name", "node-1", "Name of this process, unique.");

  private static final SettingDefinition<String> ZONE =
      SettingDefinition.name("gateway.zone", "zone-1", "Zone this process stands in.");

  private static final SettingDefinition<NetworkAddress> CALLERS =
      SettingDefinition.address("gateway.callers", "127.0.0.1:8080", "Where callers connect.");

  private static final SettingDefinition<NetworkAddress> READINESS =
      SettingDefinition.address(
          "gateway.readiness", "127.0.0.1:8081", "Where readiness is asked for.");

  private static final SettingDefinition<NetworkAddress> PEERS =
      SettingDefinition.address(
          "gateway.peers", "127.0.0.1:0", "UDP address where other nodes tell their load.");

  private static final SettingDefinition<String> ADVERTISED =
      SettingDefinition.addresses(
          "gateway.advertised",
          "",
          "Where other nodes reach the peers' address, behind a translation of addresses; empty: there.");

  private static final SettingDefinition<String> SEEDS =
      SettingDefinition.addresses(
          "gateway.seeds", "", "Some other nodes, by any of their ports; split by commas.");

  private static final SettingDefinition<Integer> METRICS_PORT =
      SettingDefinition.integer(
          "gateway.metrics_port", 0, 0, MAX_PORT, "Port of the metrics; 0 for none.");

  private static final SettingDefinition<Boolean> FIRST_START =
      SettingDefinition.flag(
          "gateway.first_start",
          false,
          "Whether the whole system starts for the first time, so that engines keep nothing and nothing was repeated before.");

  private static final SettingDefinition<NetworkAddress> STORE =
      SettingDefinition.address("store.address", "127.0.0.1:7000", "Address of the store.");

  private static final List<SettingDefinition<?>> DEFINITIONS =
      Stream.of(
              List.of(
                  NODE_NAME,
                  ZONE,
                  CALLERS,
                  READINESS,
                  PEERS,
                  ADVERTISED,
                  SEEDS,
                  METRICS_PORT,
                  FIRST_START,
                  STORE),
              MachineSettings.DEFINITIONS,
              GatewayBounds.DEFINITIONS,
              DispatchSettings.DEFINITIONS,
              StageSettings.DEFINITIONS,
              DutySettings.DEFINITIONS,
              ScaleSettings.DEFINITIONS,
              LogSettings.DEFINITIONS)
          .flatMap(List::stream)
          .<SettingDefinition<?>>map(definition -> definition)
          .toList();

  /** The definition of every setting, section by section. */
  public static List<SettingDefinition<?>> definitions() {
    return DEFINITIONS;
  }

  /** A reader that knows every setting of a gateway process. */
  public static SettingsReader reader() {
    return new SettingsReader(DEFINITIONS);
  }

  /** The record made from values that were read. */
  public static GatewaySettings from(SettingValues values) {
    return new GatewaySettings(
        values.get(NODE_NAME),
        values.get(ZONE),
        values.get(CALLERS),
        values.get(READINESS),
        values.get(PEERS),
        addresses(values.get(ADVERTISED)).stream().findFirst(),
        addresses(values.get(SEEDS)),
        values.get(METRICS_PORT),
        values.get(FIRST_START),
        MachineSettings.from(values),
        values.get(STORE),
        GatewayBounds.from(values),
        DispatchSettings.from(values),
        StageSettings.from(values),
        DutySettings.from(values),
        ScaleSettings.from(values),
        LogSettings.from(values));
  }

  private static List<NetworkAddress> addresses(String text) {
    return Stream.of(text.split(","))
        .map(String::strip)
        .filter(part -> !part.isEmpty())
        .map(NetworkAddress::parse)
        .toList();
  }

  /**
   * Where the seeds hear of load: every node uses the same port for it. A node that takes any free
   * port, as in tests, is told the others' ports by its seeds.
   */
  public List<NetworkAddress> seedPeers() {
    if (peers.port() == 0) {
      return seeds;
    }
    return seeds.stream().map(seed -> new NetworkAddress(seed.host(), peers.port())).toList();
  }

  /**
   * This node as the others know it.
   *
   * @param bound where it hears of load, with the real port
   */
  public PeerInfo peerInfo(NetworkAddress bound) {
    return new PeerInfo(
        advertised.orElse(bound),
        zone,
        PeerInfo.capacityOf(machine.processor(), machine.bandwidthMbps()));
  }

  /** What the dispatcher is made with. */
  public DispatchParameters dispatchParameters() {
    return new DispatchParameters(
        nodeName,
        zone,
        dispatch.prefillTokensPerMilli(),
        bounds.retryRatio(),
        bounds.retrySlack(),
        bounds.retryWindow(),
        firstStart,
        bounds.drain().multipliedBy(LAST_RESORT_PERCENT).dividedBy(PERCENT),
        dispatch.minRetryAfter(),
        stages.parameters(),
        dispatch.waiting(),
        dispatch.learnsPace());
  }

  /** What orders of engines go by. */
  public ScaleParameters scaleParameters() {
    return scaling.parameters(stages.leastShare());
  }

  /** Longest time a planned stop may take, with a margin before the platform kills the process. */
  public Duration stopWithin() {
    return bounds.grace().minus(bounds.stopMargin());
  }
}
