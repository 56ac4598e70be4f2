package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.fallturn.core.dispatch.EngineNotices;
import org.fallturn.core.dispatch.NoticeSource;
import org.fallturn.core.routing.ServingEngine;

/**
 * Reads from the head of every answer what its engine says of itself, before anything of the answer
 * is passed on, and stops what would be sent to it all the same. Thread-safe.
 */
final class NoticeReader {

  /** Engines of which it is remembered what was not readable, so that it is logged once. */
  private static final int MAX_REFUSED = 1_000;

  /** Names of unknown headers that are logged; whatever applications send beyond is not. */
  private static final int MAX_UNKNOWN = 100;

  private final EngineProtocol protocol;
  private final EngineNotices notices;
  private final DecisionLog log;
  private final Map<String, String> refused = new ConcurrentHashMap<>();
  private final Set<String> unknown = ConcurrentHashMap.newKeySet();

  NoticeReader(EngineProtocol protocol, EngineNotices notices, DecisionLog log) {
    this.protocol = protocol;
    this.notices = notices;
    this.log = log;
  }

  /**
   * Reads the answer to a call, and stops its sending where its engine has said something since the
   * call was decided.
   *
   * @param requestId of the caller's request; empty for a call of this node's own
   */
  void watch(Request request, ServingEngine engine, String requestId) {
    AtomicLong sentNanos = new AtomicLong(System.nanoTime());
    request.onRequestBegin(
        begun -> {
          sentNanos.set(System.nanoTime());
          onBegin(engine, !requestId.isEmpty(), begun);
        });
    request.onResponseHeaders(answer -> onHead(engine, requestId, sentNanos.get(), answer));
    request.onResponseSuccess(answer -> onWhole(engine, requestId, sentNanos.get(), answer));
  }

  /** An engine that leaves answers calls of this node's own still. */
  private void onBegin(ServingEngine engine, boolean ofCaller, Request request) {
    long now = System.nanoTime();
    if (!(ofCaller ? takesRequest(engine, now) : takesCall(engine, now))) {
      request.abort(new EngineHeldBackException(engine.id()));
    }
  }

  /** Its limit counts what is sent, not what is decided: others may have taken the room since. */
  private boolean takesRequest(ServingEngine engine, long now) {
    return notices.takesRequests(engine.id(), now) && notices.limits().tryTake(engine.id(), now);
  }

  private boolean takesCall(ServingEngine engine, long now) {
    if (notices.rests(engine.id(), now)) {
      return false;
    }
    notices.limits().onSent(engine.id(), now);
    return true;
  }

  /**
   * An answer to another request, which came late on the same connection, says nothing: who gave it
   * is not known.
   */
  private void onHead(ServingEngine engine, String requestId, long sentNanos, Response response) {
    protocol.unknownHeaders(response.getHeaders()).forEach(name -> onUnknown(engine, name));
    EngineNotice notice = protocol.readNotice(response.getStatus(), response.getHeaders());
    if (notice == EngineNotice.NONE) {
      return;
    }
    EngineAnswerHead head = protocol.readHead(response.getStatus(), response.getHeaders());
    if (head.belongsTo(requestId)) {
      take(engine, notice, sentNanos);
    }
  }

  /**
   * The answer is whole. Only now is it known that it names no limit: one that breaks off within
   * its first bytes may not have come to say so.
   */
  private void onWhole(ServingEngine engine, String requestId, long sentNanos, Response response) {
    if (requestId.isEmpty() || !notices.limits().limited(engine.id())) {
      return;
    }
    EngineAnswerHead head = protocol.readHead(response.getStatus(), response.getHeaders());
    if (head.belongsTo(requestId)
        && protocol.readNotice(response.getStatus(), response.getHeaders()).unlimited()) {
      notices.limits().onNoLimitAnnounced(engine.id(), sentNanos);
    }
  }

  private void take(ServingEngine engine, EngineNotice notice, long sentNanos) {
    long now = System.nanoTime();
    if (notice.leaving()) {
      notices.onLeaving(engine.id(), NoticeSource.ANSWER, now);
    }
    notice.rest().ifPresent(rest -> onRest(engine, rest, now));
    notice
        .perSecond()
        .ifPresent(limit -> notices.limits().onLimitAnnounced(engine.id(), limit, sentNanos, now));
    notice.load().ifPresent(load -> notices.reportedLoads().onLoadReported(engine.id(), load, now));
    notice.unreadable().forEach(text -> refuse(engine, text));
  }

  /** What engines begin to say must not go unnoticed until it is found to have been a request. */
  private void onUnknown(ServingEngine engine, String name) {
    if (unknown.size() < MAX_UNKNOWN && unknown.add(name)) {
      log.headerUnknown(engine.id(), name);
    }
  }

  /** An engine may send the same in each of its answers. */
  private void refuse(ServingEngine engine, String text) {
    if (refused.size() >= MAX_REFUSED) {
      refused.clear();
    }
    if (!text.equals(refused.put(engine.id(), text))) {
      log.noticeRefused(engine.id(), text);
    }
  }

  private void onRest(ServingEngine engine, Duration rest, long now) {
    if (notices.onRest(engine.id(), rest.toNanos(), now)) {
      log.engineRests(engine.id(), rest);
    }
  }
}
