package org.fallturn.node.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.LoadReport;
import org.fallturn.core.port.engine.OrderNumber;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.json.JsonCodec;

/** Engines that only tell their state, over loopback. */
final class FakeEngines implements AutoCloseable {
  static final ModelName MODEL = new ModelName("model");
  static final ZoneName ZONE = new ZoneName("zone");
  static final RegionName REGION = new RegionName("region");

  final Map<EngineId, EngineRole> roles = new ConcurrentHashMap<>();
  private final List<HttpListener> listeners = new ArrayList<>();
  private final List<Machine> machines = new ArrayList<>();

  EngineId add(String name, EngineRole role) throws Exception {
    EngineId engine = new EngineId(name);
    roles.put(engine, role);
    HttpRouter router =
        new HttpRouter(new JsonCodec())
            .document("/v1/state", r -> CompletableFuture.completedFuture(state(engine)))
            .document("/v1/load", r -> CompletableFuture.completedFuture(load(engine)))
            .document(
                "/v1/cache-events",
                r -> CompletableFuture.completedFuture(new CacheEvents(1, 1, List.of())));
    HttpListener listener = new HttpListener(name, new NetworkAddress("127.0.0.1", 0), 6, router);
    listeners.add(listener);
    machines.add(
        new Machine(
            name,
            Machine.Kind.ENGINE,
            REGION,
            ZONE,
            listener.address(),
            Optional.empty(),
            Optional.of(MODEL),
            Optional.empty(),
            Machine.State.LIVE));
    return engine;
  }

  MachineList machines() {
    return new MachineList(1, machines);
  }

  EngineState state(EngineId engine) {
    return new EngineState(
        engine,
        1,
        OrderNumber.NONE,
        roles.get(engine),
        MODEL,
        "1",
        Map.of(),
        EngineState.Activity.SERVING,
        false,
        0);
  }

  private static LoadReport load(EngineId engine) {
    return new LoadReport(engine, 1, 0, 0, 0, 0, 0, 0, 0);
  }

  @Override
  public void close() throws Exception {
    for (HttpListener listener : listeners) {
      listener.close();
    }
  }
}
