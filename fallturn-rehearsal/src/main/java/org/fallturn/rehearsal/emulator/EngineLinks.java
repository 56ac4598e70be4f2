package org.fallturn.rehearsal.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.node.gateway.GatewayPlatform;
import org.fallturn.node.gateway.RowDecoder;
import org.fallturn.rehearsal.faults.FaultProxy;
import org.fallturn.rehearsal.faults.LinkFaults;

/**
 * The links of one gateway to the engines, on which faults can be put while all other nodes reach
 * the engines as before. Thread-safe.
 */
public final class EngineLinks implements AutoCloseable {

  private static final NetworkAddress ANY_PORT = new NetworkAddress("127.0.0.1", 0);

  private final FaultProxy proxy = new FaultProxy(1);
  private final Map<String, NetworkAddress> addresses = new ConcurrentHashMap<>();

  /** Lets a gateway with these adapters reach each engine by a link of its own. */
  public GatewayPlatform putBefore(GatewayPlatform adapters) {
    RowDecoder<ServingEngine> decoder = adapters.engineDecoder();
    return new GatewayPlatform(
        adapters.callers(),
        adapters.engines(),
        adapters.routingFeed(),
        adapters.isRouting(),
        adapters.routingDecoder(),
        adapters.engineFeed(),
        row -> behindLink(decoder.decode(row)),
        adapters.orderLease(),
        adapters.quarantine(),
        adapters.usage(),
        adapters.usageApi(),
        adapters.initialCounts(),
        adapters.scaleApi(),
        adapters.readinessPath());
  }

  private ServingEngine behindLink(ServingEngine engine) {
    NetworkAddress link = addresses.computeIfAbsent(engine.id(), id -> open(id, engine.address()));
    return new ServingEngine(
        engine.listedId(),
        engine.bornMillis(),
        engine.service(),
        engine.softwareVersion(),
        link,
        engine.zone(),
        engine.slots(),
        engine.leaving(),
        engine.leavesIn(),
        engine.reclaimable(),
        engine.stage());
  }

  private NetworkAddress open(String engineId, NetworkAddress engine) {
    try {
      return proxy.openTcp(engineId, ANY_PORT, engine);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Puts faults on the links to all engines that are known now. */
  public void setAll(LinkFaults faults) {
    addresses.keySet().forEach(id -> proxy.set(id, faults));
  }

  /** Refuses new connections to all engines; open ones live on. */
  public void refuseNewConnections() throws IOException {
    for (String id : addresses.keySet()) {
      proxy.stopAccepting(id);
    }
  }

  @Override
  public void close() throws IOException {
    proxy.close();
  }
}
