package org.fallturn.node.placement;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.EngineOrderService;
import org.fallturn.core.placement.PlacementParameters;
import org.fallturn.core.placement.PoolDigest;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.core.roles.KeepRoles;
import org.fallturn.core.roles.RolePolicy;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.settings.PlacementSettings;

/** Placement of one node over loopback; digests go straight into a map shared by all nodes. */
final class PlacementNode implements AutoCloseable {
  static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
  static final PoolId POOL = new PoolId(FakeEngines.ZONE, FakeEngines.MODEL, 0);

  final NodeId id;
  final PlacementModule module;
  final PlacementClient client;
  final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
  final List<EngineCommand> orders = new CopyOnWriteArrayList<>();
  private final HttpClient jetty = new HttpClient();
  private final HttpListener listener;
  private final FakeEngines engines;

  PlacementNode(
      String name,
      FakeEngines engines,
      MachineList machines,
      ConcurrentHashMap<PoolId, PoolDigest> digests,
      PlacementParameters parameters,
      RolePolicy rolePolicy,
      Duration answerTimeout)
      throws Exception {
    this.id = new NodeId(name);
    this.engines = engines;
    jetty.start();
    JsonHttpClient http = new JsonHttpClient(jetty, new JsonCodec());
    PlacementSettings settings =
        new PlacementSettings(answerTimeout, Duration.ofMillis(50), Duration.ofMillis(50));
    HttpRouter router = new HttpRouter(new JsonCodec());
    listener = new HttpListener(name, new NetworkAddress("127.0.0.1", 0), 10, router);
    module =
        new PlacementModule(
            new LeaderParts(
                id,
                listener::address,
                http,
                () -> machines,
                () -> ConfigurationImage.EMPTY,
                orderService(),
                pool -> rolePolicy,
                digest -> digests.merge(digest.pool(), digest, PlacementNode::newer),
                parameters,
                settings));
    module.addRoutes(router);
    client =
        new PlacementClient(
            new ClientParts(
                id,
                FakeEngines.REGION,
                FakeEngines.ZONE,
                http,
                module,
                new DigestLeaderDirectory(() -> Map.copyOf(digests)),
                () -> machines,
                () -> ConfigurationImage.EMPTY,
                parameters,
                settings,
                metrics));
    module.start();
    client.start();
  }

  static PlacementNode keepingRoles(
      String name, FakeEngines engines, ConcurrentHashMap<PoolId, PoolDigest> digests, int slots)
      throws Exception {
    return new PlacementNode(
        name,
        engines,
        engines.machines(),
        digests,
        parameters(slots),
        new KeepRoles(),
        LONG_TIMEOUT);
  }

  static PlacementParameters parameters(int decodeSlots) {
    PlacementParameters defaults = PlacementParameters.defaults();
    return new PlacementParameters(
        defaults.maxEnginesPerPool(),
        defaults.maxMergedEngines(),
        defaults.maxQueued(),
        defaults.maxPrefillBacklog(),
        decodeSlots,
        0,
        defaults.prefillTokensPerSecond(),
        defaults.firstTokenInterval(),
        defaults.fullBatchInterval(),
        defaults.kvTransfer(),
        defaults.farTransfer(),
        defaults.localPrefillMaxTokens(),
        defaults.estimateFactor(),
        defaults.engineAbsentRetry(),
        Duration.ofMillis(50),
        defaults.leakedAfter(),
        defaults.maxBlocksPerEngine());
  }

  private static PoolDigest newer(PoolDigest known, PoolDigest told) {
    return told.isNewerThan(known) ? told : known;
  }

  private EngineOrderService orderService() {
    return (pool, engine, command) -> {
      orders.add(command);
      engines.roles.put(engine, ((EngineCommand.ChangeRole) command).role());
      return CompletableFuture.completedFuture(new OrderAnswer(true, "", engines.state(engine)));
    };
  }

  void lead(long epoch) {
    module.onAcquired(
        POOL,
        new Epoch(epoch),
        engines.roles.keySet().stream().sorted(EngineId::compareTo).map(engines::state).toList());
  }

  void lose(long epoch) {
    module.onLost(POOL, new Epoch(epoch));
  }

  double withoutLeader() {
    return metrics.counter("fallturn.placement.without_leader").count();
  }

  @Override
  public void close() throws Exception {
    client.close();
    module.close();
    listener.close();
    jetty.stop();
  }
}
