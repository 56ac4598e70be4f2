package org.fallturn.rehearsal.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.http.HttpFields;
import org.fallturn.core.dispatch.CacheSource;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.node.gateway.EngineCall;
import org.fallturn.node.gateway.EngineProtocol;
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

  private final FaultProxy proxy;
  private final Map<String, NetworkAddress> addresses = new ConcurrentHashMap<>();
  private final Map<NetworkAddress, NetworkAddress> engines = new ConcurrentHashMap<>();

  /** Links whose connections come from any host. */
  public EngineLinks() {
    this.proxy = new FaultProxy(1);
  }

  /** Links whose connections come from one host, which tells engines who sends. */
  public EngineLinks(String sourceHost) {
    this.proxy = new FaultProxy(1, Optional.of(sourceHost));
  }

  /** Lets a gateway with these adapters reach each engine by a link of its own. */
  public GatewayPlatform putBefore(GatewayPlatform adapters) {
    RowDecoder<ServingEngine> decoder = adapters.engineDecoder();
    return new GatewayPlatform(
        adapters.callers(),
        namingEngines(adapters.engines()),
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

  /**
   * Names the engines themselves where one is to fetch from another: the link is the gateway's, and
   * engines reach each other whatever its faults.
   */
  private EngineProtocol namingEngines(EngineProtocol protocol) {
    return (EngineProtocol)
        Proxy.newProxyInstance(
            EngineProtocol.class.getClassLoader(),
            new Class<?>[] {EngineProtocol.class},
            (self, method, arguments) -> {
              try {
                boolean head = method.getName().equals("requestHeaders");
                return head
                    ? protocol.requestHeaders(
                        (HttpFields) arguments[0], fetchingFromEngines((EngineCall) arguments[1]))
                    : method.invoke(protocol, arguments);
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            });
  }

  private EngineCall fetchingFromEngines(EngineCall call) {
    return new EngineCall(
        call.engine(),
        call.prefillOnly(),
        call.source().map(from -> new CacheSource(unlinked(from.engine()), from.handle())),
        call.fetchFrom().map(this::unlinked),
        call.caller(),
        call.timeLeft(),
        call.priority(),
        call.lastEventId());
  }

  private ServingEngine unlinked(ServingEngine engine) {
    return at(engine, engines.getOrDefault(engine.address(), engine.address()));
  }

  private ServingEngine behindLink(ServingEngine engine) {
    NetworkAddress link = addresses.computeIfAbsent(engine.id(), id -> open(id, engine.address()));
    engines.put(link, engine.address());
    return at(engine, link);
  }

  private static ServingEngine at(ServingEngine engine, NetworkAddress address) {
    return new ServingEngine(
        engine.listedId(),
        engine.bornMillis(),
        engine.service(),
        engine.softwareVersion(),
        address,
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
