package org.fallturn.node.callers;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.admission.AdmissionControl;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.placement.PlacementService;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.core.port.table.TableService;
import org.fallturn.node.application.BackEndSelector;
import org.fallturn.node.application.ForwardClient;
import org.fallturn.node.engine.EngineClient;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.http.ListenerLimits;
import org.fallturn.node.http.RouteHandler;
import org.fallturn.node.http.TlsCertificate;
import org.fallturn.node.idempotency.ClaimDuty;
import org.fallturn.node.idempotency.JsonClaimRowCodec;
import org.fallturn.node.json.JsonCodec;

/**
 * The callers' door: its listening port, its routes and its duties. Thread-safe. After {@link
 * #beginDrain()} new requests are refused as STOPPING and those in progress go on.
 */
public final class CallersModule implements AutoCloseable {

  private static final int ID_RADIX = 36;
  private static final Duration LINGER = Duration.ofSeconds(1);
  private static final List<String> APPLICATION_METHODS =
      List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

  private final CallersModuleSettings settings;
  private final ClaimDuty claims;
  private final CallerServices services;
  private final HttpRouter router;
  private final AtomicLong requestNumber = new AtomicLong();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicBoolean draining = new AtomicBoolean();
  private HttpListener listener;

  /**
   * A door that is not open yet.
   *
   * @param client a started client that this class does not stop
   */
  public CallersModule(
      PlacementService placement,
      AdmissionControl admission,
      Supplier<ConfigurationImage> configuration,
      Supplier<MachineList> machines,
      JsonHttpClient client,
      TableService table,
      CallersModuleSettings settings,
      MeterRegistry registry) {
    this.settings = settings;
    JsonCodec codec = new JsonCodec();
    this.claims =
        new ClaimDuty(
            table,
            new JsonClaimRowCodec(codec),
            settings.claimTimeout(),
            System::currentTimeMillis);
    this.services =
        new CallerServices(
            settings,
            placement,
            admission,
            configuration,
            new EngineClient(client.jettyClient(), codec),
            new ForwardClient(client.jettyClient()),
            new BackEndSelector(machines, configuration, settings.zone(), System::nanoTime),
            new RequestClaims(claims, settings.node()),
            new InFlightRequests(),
            new CallerAnswers(codec),
            new CallerMetrics(registry),
            codec);
    this.router = new HttpRouter(codec);
    addRoutes();
    registry.gauge("fallturn.requests.in.flight", this, CallersModule::inFlight);
  }

  private void addRoutes() {
    CompletionsHandler completions = new CompletionsHandler(services);
    ModelsHandler models = new ModelsHandler(services);
    router.route(
        "POST",
        "/v1/chat/completions",
        accept(caller -> completions.handle(CompletionStyle.CHAT, caller)));
    router.route(
        "POST",
        "/v1/completions",
        accept(caller -> completions.handle(CompletionStyle.TEXT, caller)));
    router.route("GET", "/v1/models", accept(models::handle));
    ApplicationsHandler applications = new ApplicationsHandler(services);
    for (String method : APPLICATION_METHODS) {
      router.route(method, ApplicationsHandler.PREFIX, accept(applications::handle));
    }
  }

  /** Opens the door without encryption. */
  public void start() throws Exception {
    start(Optional.empty());
  }

  /** Opens the door, encrypted when there is a certificate. */
  public void start(Optional<TlsCertificate> certificate) throws Exception {
    claims.start();
    services.inFlight().start();
    ListenerLimits limits =
        new ListenerLimits(
            settings.maxThreads(),
            settings.maxConnections(),
            settings.maxHeaderBytes(),
            settings.idleTimeout());
    listener = new HttpListener("callers", settings.address(), limits, certificate, router);
  }

  /** Where callers connect, with the real port. */
  public NetworkAddress address() {
    return listener.address();
  }

  /** Refuses new requests from now on; those in progress go on. */
  public void beginDrain() {
    draining.set(true);
  }

  /**
   * Requests in progress, those included that go on without their caller, and ends of claims that
   * are not yet stored.
   */
  public int inFlight() {
    return Math.max(inFlight.get(), services.inFlight().size()) + claims.unsettled();
  }

  /** Takes no more connections and lets the open ones end; after {@link #beginDrain()}. */
  public void endConnections() throws InterruptedException {
    listener.drain(LINGER);
  }

  @Override
  public void close() throws Exception {
    if (listener != null) {
      listener.close();
    }
    services.inFlight().close();
    claims.close();
  }

  /** Serves one accepted request. */
  @FunctionalInterface
  private interface CallerHandler {
    void handle(CallerRequest caller) throws FallturnException;
  }

  private RouteHandler accept(CallerHandler handler) {
    return (request, response, callback) -> {
      CallerRequest caller = callerRequest(request, response, callback);
      inFlight.incrementAndGet();
      Request.addCompletionListener(request, failure -> inFlight.decrementAndGet());
      try {
        refuseWhileDraining(response);
        refuseBeforeConfiguration();
        handler.handle(caller);
      } catch (FallturnException e) {
        services.refuse(caller, e);
      }
    };
  }

  private CallerRequest callerRequest(Request request, Response response, Callback callback) {
    String number = Long.toString(requestNumber.incrementAndGet(), ID_RADIX);
    RequestId id = new RequestId(settings.node() + "-" + number);
    CallerConnection connection = CallerConnection.watch(request);
    return new CallerRequest(request, response, callback, connection, id, System.nanoTime());
  }

  /** Without any configuration an unknown key says nothing about the caller. */
  private void refuseBeforeConfiguration() throws FallturnException {
    if (services.configuration().get().version() == ConfigurationImage.EMPTY.version()) {
      throw new FallturnException(
          ErrorKind.NO_CAPACITY, "this node has not read its configuration yet");
    }
  }

  private void refuseWhileDraining(Response response) throws FallturnException {
    if (draining.get()) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
      throw new FallturnException(ErrorKind.STOPPING, "this node is stopping; use another one");
    }
  }
}
