package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongPredicate;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.fallturn.core.dispatch.EngineNotices;
import org.fallturn.core.dispatch.NoticeSource;
import org.fallturn.core.routing.ServingEngine;

/**
 * Reads the notices that engines put in the headers of every answer, before any part of the answer
 * is relayed, and aborts requests to engines whose notices forbid them. Thread-safe.
 */
final class NoticeReader {

  /** Engines for which the last unreadable value is kept, so that it is logged only once. */
  private static final int MAX_UNREADABLE = 1_000;

  /** Bound on the unknown header names that are logged; applications may send any number. */
  private static final int MAX_UNKNOWN = 100;

  private final EngineProtocol protocol;
  private final EngineNotices notices;
  private final DecisionLog log;
  private final Map<String, String> lastUnreadable = new ConcurrentHashMap<>();
  private final Set<String> loggedHeaders = ConcurrentHashMap.newKeySet();

  NoticeReader(EngineProtocol protocol, EngineNotices notices, DecisionLog log) {
    this.protocol = protocol;
    this.notices = notices;
    this.log = log;
  }

  /**
   * Watches a call: reads notices from its answer, and aborts it before it is sent when the engine
   * has said since the decision that it takes no more.
   *
   * @param request the call, not yet sent
   * @param engine the engine that is called
   * @param requestId id of the caller's request; empty for a call on this node's own behalf
   */
  void watch(Request request, ServingEngine engine, String requestId) {
    boolean ofCaller = !requestId.isEmpty();
    LongPredicate mayBegin =
        now -> ofCaller ? tryTakeRequest(engine, now) : tryTakeCall(engine, now);
    watch(request, engine, requestId, mayBegin);
  }

  /**
   * As {@link #watch}, for a request of another node, which has taken the permit of the engine's
   * rate limit.
   */
  void watchForwarded(Request request, ServingEngine engine, String requestId) {
    watch(request, engine, requestId, now -> notices.takesRequests(engine.id(), now));
  }

  private void watch(
      Request request, ServingEngine engine, String requestId, LongPredicate mayBegin) {
    AtomicLong sentNanos = new AtomicLong(System.nanoTime());
    request.onRequestBegin(
        SendState.orAbort(
            begun -> {
              sentNanos.set(System.nanoTime());
              withholdUnless(mayBegin, engine, begun);
            }));
    request.onResponseHeaders(answer -> onHead(engine, requestId, sentNanos.get(), answer));
    request.onResponseSuccess(answer -> onComplete(engine, requestId, sentNanos.get(), answer));
  }

  /** A leaving engine takes no requests but still answers this node's own calls. */
  private static void withholdUnless(
      LongPredicate mayBegin, ServingEngine engine, Request request) {
    if (request.getAbortCause() == null && !mayBegin.test(System.nanoTime())) {
      request.abort(new EngineHeldBackException(engine.id()));
    }
  }

  /**
   * Whether a caller's request may be sent now; if so, takes a permit from the engine's rate limit.
   * Limits count requests when they are sent, not when they are decided: other requests may have
   * used up the limit in between.
   */
  private boolean tryTakeRequest(ServingEngine engine, long now) {
    return notices.takesRequests(engine.id(), now) && notices.limits().tryTake(engine.id(), now);
  }

  private boolean tryTakeCall(ServingEngine engine, long now) {
    if (notices.rests(engine.id(), now)) {
      return false;
    }
    notices.limits().onSent(engine.id(), now);
    return true;
  }

  /**
   * Applies the notice of an answer. Ignores an answer to another request that arrives late on the
   * same connection, since it is not known which engine gave it.
   */
  private void onHead(ServingEngine engine, String requestId, long sentNanos, Response response) {
    protocol.unknownHeaders(response.getHeaders()).forEach(name -> onUnknown(engine, name));
    EngineNotice notice = protocol.readNotice(response.getStatus(), response.getHeaders());
    if (notice == EngineNotice.NONE) {
      return;
    }
    EngineAnswerHead head = protocol.readHead(response.getStatus(), response.getHeaders());
    if (head.belongsTo(requestId)) {
      apply(engine, notice, sentNanos);
    }
  }

  /**
   * Lifts the engine's rate limit when a complete answer names none. An answer that was cut off
   * within its first bytes may have lost the header, so only complete ones count.
   */
  private void onComplete(
      ServingEngine engine, String requestId, long sentNanos, Response response) {
    if (requestId.isEmpty() || !notices.limits().limited(engine.id())) {
      return;
    }
    EngineAnswerHead head = protocol.readHead(response.getStatus(), response.getHeaders());
    if (head.belongsTo(requestId)
        && protocol.readNotice(response.getStatus(), response.getHeaders()).unlimited()) {
      notices.limits().onNoLimitAnnounced(engine.id(), sentNanos);
    }
  }

  private void apply(ServingEngine engine, EngineNotice notice, long sentNanos) {
    long now = System.nanoTime();
    if (notice.leaving()) {
      notices.onLeaving(engine.id(), NoticeSource.ANSWER, now);
    }
    notice.rest().ifPresent(rest -> onRest(engine, rest, now));
    notice
        .perSecond()
        .ifPresent(limit -> notices.limits().onLimitAnnounced(engine.id(), limit, sentNanos, now));
    notice.load().ifPresent(load -> notices.reportedLoads().onLoadReported(engine.id(), load, now));
    notice.unreadable().forEach(text -> logUnreadable(engine, text));
  }

  /**
   * Logs the name of an unknown header once. When engines start to send a new header, it may ask
   * something of the gateway, so operators must notice it.
   */
  private void onUnknown(ServingEngine engine, String name) {
    if (loggedHeaders.size() < MAX_UNKNOWN && loggedHeaders.add(name)) {
      log.headerUnknown(engine.id(), name);
    }
  }

  /** Logs an unreadable value once, since an engine may repeat it in each answer. */
  private void logUnreadable(ServingEngine engine, String text) {
    if (lastUnreadable.size() >= MAX_UNREADABLE) {
      lastUnreadable.clear();
    }
    if (!text.equals(lastUnreadable.put(engine.id(), text))) {
      log.noticeRefused(engine.id(), text);
    }
  }

  private void onRest(ServingEngine engine, Duration rest, long now) {
    if (notices.onRest(engine.id(), rest.toNanos(), now)) {
      log.engineRests(engine.id(), rest);
    }
  }
}
