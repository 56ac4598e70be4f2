package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.dispatch.PromptShape;
import org.fallturn.core.dispatch.RequestEnvelope;
import org.fallturn.core.dispatch.RequestProgress;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.quarantine.RequestContent;
import org.fallturn.core.routing.Caller;
import org.fallturn.core.routing.Rank;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.Tenant;

/**
 * Jetty handler for callers' requests: matches the route, authenticates the caller, reads the whole
 * body within the operator's limits and posts the request to the dispatch duty. Called on server
 * threads; never blocks.
 */
final class CallerRequestHandler extends Handler.Abstract.NonBlocking {

  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(300);

  /**
   * Sent while the store does not answer; longer than the default, since only time helps then.
   * Callers cap it to the time that they have left.
   */
  private static final Duration OUTAGE_RETRY_AFTER = Duration.ofSeconds(2);

  /** Authentication scheme of callers, sent in WWW-Authenticate. */
  private static final String BEARER = "Bearer";

  private static final String CLOSE = HttpHeaderValue.CLOSE.asString();

  private static final String NO_MEMORY = "too many bytes of bodies are in flight";

  private final GatewayState gateway;
  private final Consumer<DispatchEvent> events;
  private final DecisionLog log;

  CallerRequestHandler(GatewayState gateway, Consumer<DispatchEvent> events, DecisionLog log) {
    this.gateway = gateway;
    this.events = events;
    this.log = log;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    HandlerArguments caller = new HandlerArguments(request, response, callback);
    beginServing(request, response);
    if (!gateway.takesRequests()) {
      refuse(caller, requestId(request), ErrorKind.STOPPING, "this node is stopping");
      return true;
    }
    RoutingImage routing = gateway.routing();
    if (routing == null) {
      refuse(caller, "", ErrorKind.STORE_UNAVAILABLE, "no configuration is known yet");
      return true;
    }
    try {
      accept(caller, routing);
    } catch (FallturnException e) {
      refuse(caller, "", e.kind(), e.getMessage());
    }
    return true;
  }

  /**
   * Counts the request as in flight and marks its connection as serving it until the last byte of
   * its answer has been written: the head of the next request is expected only then, unless the
   * answer ends the connection.
   */
  private void beginServing(Request request, Response response) {
    gateway.beginRequest();
    Runnable end = () -> {};
    if (request.getConnectionMetaData().getConnection().getEndPoint()
        instanceof WatchedEndPoint endPoint) {
      Runnable endOnConnection = endPoint.beginServing();
      end =
          () -> {
            if (isLast(request, response)) {
              endPoint.expectClose();
            }
            endOnConnection.run();
          };
    }
    Runnable endServing = end;
    Request.addCompletionListener(
        request,
        failure -> {
          endServing.run();
          gateway.endRequest();
        });
  }

  /** Whether the caller knows that the connection ends with this answer. */
  private static boolean isLast(Request request, Response response) {
    return !request.getConnectionMetaData().isPersistent()
        || response.getHeaders().contains(HttpHeader.CONNECTION, CLOSE)
        || request.getHeaders().contains(HttpHeader.CONNECTION, CLOSE);
  }

  private String requestId(Request request) {
    try {
      return gateway.callerProtocol().readHead(request).requestId();
    } catch (FallturnException e) {
      return "";
    }
  }

  private void accept(HandlerArguments caller, RoutingImage routing) throws FallturnException {
    CallerRequestHead head = gateway.callerProtocol().readHead(caller.request());
    try {
      prepare(caller, head, routing).run();
    } catch (FallturnException e) {
      refuse(caller, head.requestId(), reportedKind(e.kind()), e.getMessage());
    }
  }

  /**
   * Replaces a denial by STORE_UNAVAILABLE while this node has yet to read a newer configuration:
   * that one may hold the route or key.
   */
  private ErrorKind reportedKind(ErrorKind kind) {
    boolean denied = kind == ErrorKind.NOT_FOUND || kind == ErrorKind.UNAUTHENTICATED;
    return denied && gateway.routingIsBehind() ? ErrorKind.STORE_UNAVAILABLE : kind;
  }

  private BodyCollector prepare(
      HandlerArguments caller, CallerRequestHead head, RoutingImage routing)
      throws FallturnException {
    Route route =
        routing
            .match(head.host(), head.path())
            .orElseThrow(() -> new FallturnException(ErrorKind.NOT_FOUND, "no route"));
    Caller sender = routing.keys().authenticate(route, head.key());
    Rank rank = routing.rank(route, sender);
    if (sender.tenant().isPresent() && !gateway.keysAreTrusted(System.nanoTime())) {
      throw new FallturnException(ErrorKind.STORE_UNAVAILABLE, "keys were not confirmed lately");
    }
    int maxBody = routing.limits().maxBodyBytes();
    if (caller.request().getLength() > maxBody) {
      throw new FallturnException(ErrorKind.TOO_LARGE, "body over " + maxBody + " bytes");
    }
    BodyBuffer body = new BodyBuffer(gateway.bodies(), maxBody);
    if (!body.tryReserve((int) Math.max(0, caller.request().getLength()))) {
      throw new FallturnException(ErrorKind.NO_CAPACITY, NO_MEMORY);
    }
    return new BodyCollector(caller, head, new Admitted(route, sender, rank), body);
  }

  private void refuse(HandlerArguments caller, String requestId, ErrorKind kind, String reason) {
    log.refusedAtDoor(requestId, kind, reason);
    Duration delay =
        kind == ErrorKind.STORE_UNAVAILABLE && gateway.storeLost()
            ? OUTAGE_RETRY_AFTER
            : DEFAULT_RETRY_AFTER;
    Optional<Duration> retryAfter = kind.hasRetryAfter() ? Optional.of(delay) : Optional.empty();
    HttpFields.Mutable headers = HttpFields.build();
    gateway.callerProtocol().addOwnAnswerHeaders(headers, requestId, retryAfter);
    caller.response().setStatus(kind.httpStatus());
    caller.response().getHeaders().add(headers);
    if (kind == ErrorKind.UNAUTHENTICATED) {
      caller.response().getHeaders().put(HttpHeader.WWW_AUTHENTICATE, BEARER);
    }
    boolean bodyIsSkipped = kind == ErrorKind.TOO_LARGE || expectsContinue(caller.request());
    if (gateway.stopping() || bodyIsSkipped) {
      caller.response().getHeaders().put(HttpHeader.CONNECTION, CLOSE);
    }
    Callback written =
        bodyIsSkipped
            ? caller.callback()
            : Callback.from(
                new BodyDiscarder(caller, gateway.maxBodyBytes())::run, caller.callback()::failed);
    caller.response().write(true, BufferUtil.EMPTY_BUFFER, written);
  }

  /** Whether the caller sends its body only when told to, and otherwise never. */
  private static boolean expectsContinue(Request request) {
    return request.getHeaders().contains(HttpHeader.EXPECT, HttpHeaderValue.CONTINUE.asString());
  }

  private void dispatch(
      HandlerArguments caller, CallerRequestHead head, Admitted admitted, byte[] body) {
    long now = System.nanoTime();
    Route route = admitted.route();
    Duration timeout =
        head.deadline().filter(d -> d.compareTo(route.timeout()) < 0).orElse(route.timeout());
    RequestEnvelope envelope =
        new RequestEnvelope(
            head.requestId(),
            route,
            head.path(),
            admitted.sender(),
            admitted.rank(),
            head.prompt(),
            route.repeatable() && route.streaming() ? head.resumed() : Optional.empty(),
            now,
            now + Math.min(timeout.toNanos(), gateway.remainingNanos(now)));
    RequestContent content =
        new RequestContent(
            target(caller.request(), head),
            senderName(admitted.sender(), head),
            body,
            head.prompt().map(PromptShape::suspectParts).orElse(List.of()));
    RequestProgress progress = new RequestProgress(envelope, content);
    Exchange exchange = new Exchange(caller, head, progress, body, events, gateway);
    exchange.watchForDisconnect();
    events.accept(new DispatchEvent.Arrived(exchange));
  }

  /** Names the sender; all keys of a tenant give the same name. */
  private static String senderName(Caller sender, CallerRequestHead head) {
    return sender.tenant().map(Tenant::name).orElse(sender.keyHidden() ? "" : head.credentials());
  }

  private static String target(Request request, CallerRequestHead head) {
    return request.getMethod() + " " + head.host() + request.getHttpURI().getPathQuery();
  }

  /** What the configuration in force says about a request that it admits. */
  private record Admitted(Route route, Caller sender, Rank rank) {}

  /** Reads one request body by asynchronous demand, so that a slow caller holds no thread. */
  private final class BodyCollector implements Runnable {

    private final HandlerArguments caller;
    private final CallerRequestHead head;
    private final Admitted admitted;
    private final BodyBuffer body;

    BodyCollector(
        HandlerArguments caller, CallerRequestHead head, Admitted admitted, BodyBuffer body) {
      this.caller = caller;
      this.head = head;
      this.admitted = admitted;
      this.body = body;
    }

    @Override
    public void run() {
      while (true) {
        Content.Chunk chunk = caller.request().read();
        if (chunk == null) {
          caller.request().demand(this);
          return;
        }
        if (Content.Chunk.isFailure(chunk)) {
          body.release();
          log.refusedAtDoor(head.requestId(), ErrorKind.INVALID_REQUEST, "the body broke off");
          caller.callback().failed(chunk.getFailure());
          return;
        }
        boolean last = chunk.isLast();
        caller.progress().onBody(chunk.remaining());
        BodyBuffer.Added added = body.add(chunk.getByteBuffer());
        chunk.release();
        if (added != BodyBuffer.Added.KEPT) {
          refuseBody(added);
          return;
        }
        if (last) {
          finish();
          return;
        }
      }
    }

    /**
     * A slow body may end when the node has stopped taking requests: no time is left to serve it.
     */
    private void finish() {
      if (gateway.takesRequests()) {
        dispatch(caller, head, admitted, body.take());
      } else {
        body.release();
        refuse(caller, head.requestId(), ErrorKind.STOPPING, "this node is stopping");
      }
    }

    private void refuseBody(BodyBuffer.Added why) {
      body.release();
      if (why == BodyBuffer.Added.TOO_LONG) {
        refuse(caller, head.requestId(), ErrorKind.TOO_LARGE, "the body is too long");
      } else {
        refuse(caller, head.requestId(), ErrorKind.NO_CAPACITY, NO_MEMORY);
      }
    }
  }
}
