package org.fallturn.rehearsal.faults;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.json.JsonCodec;

/**
 * Controls a proxy by HTTP: {@code POST /control/links} opens a link, {@code POST /control/faults}
 * sets its faults, {@code POST /control/heal} takes every fault away.
 */
public final class FaultControl implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int MAX_THREADS = 8;

  private final FaultProxy proxy;
  private final HttpListener listener;

  /**
   * Binds and starts.
   *
   * @throws Exception when the port cannot be bound
   */
  public FaultControl(FaultProxy proxy, NetworkAddress listen) throws Exception {
    this.proxy = proxy;
    HttpRouter router = new HttpRouter(new JsonCodec());
    router.message("/control/links", LinkRequest.class, MAX_BODY_BYTES, this::open);
    router.message("/control/faults", FaultRequest.class, MAX_BODY_BYTES, this::set);
    router.message("/control/heal", HealRequest.class, MAX_BODY_BYTES, this::heal);
    listener = new HttpListener("fault-control", listen, MAX_THREADS, router);
  }

  /** Which protocol a link forwards. */
  public enum Protocol {
    /** Connections. */
    TCP,
    /** Datagrams. */
    UDP
  }

  /**
   * Asks for a link.
   *
   * @param link its name
   * @param protocol what it forwards
   * @param listen where it listens; port 0 takes any free one
   * @param target where it forwards to
   */
  public record LinkRequest(
      String link, Protocol protocol, NetworkAddress listen, NetworkAddress target) {}

  /**
   * An open link.
   *
   * @param link its name
   * @param address where it listens
   */
  public record OpenLink(String link, NetworkAddress address) {}

  /**
   * Sets the faults of a link.
   *
   * @param link its name
   * @param sourceHost whose traffic is meant; empty for everybody's
   * @param faults what is wrong from now on
   */
  public record FaultRequest(String link, String sourceHost, LinkFaults faults) {}

  /** Takes every fault away. */
  public record HealRequest() {}

  /** Where it listens. */
  public NetworkAddress address() {
    return listener.address();
  }

  private CompletionStage<OpenLink> open(LinkRequest request) throws FallturnException {
    try {
      NetworkAddress address =
          request.protocol() == Protocol.TCP
              ? proxy.openTcp(request.link(), request.listen(), request.target())
              : proxy.openUdp(request.link(), request.listen(), request.target());
      return CompletableFuture.completedFuture(new OpenLink(request.link(), address));
    } catch (IOException | IllegalArgumentException e) {
      throw new FallturnException(ErrorKind.INVALID_REQUEST, e.getMessage(), e);
    }
  }

  private CompletionStage<FaultRequest> set(FaultRequest request) {
    if (request.sourceHost().isEmpty()) {
      proxy.set(request.link(), request.faults());
    } else {
      proxy.set(request.link(), request.sourceHost(), request.faults());
    }
    return CompletableFuture.completedFuture(request);
  }

  private CompletionStage<HealRequest> heal(HealRequest request) {
    proxy.heal();
    return CompletableFuture.completedFuture(request);
  }

  @Override
  public void close() throws Exception {
    listener.close();
    proxy.close();
  }
}
