package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * What engines have said of themselves: that they leave, until when they want nothing from this
 * node, and how many requests they take from all. Kept by the id of one start of an engine, so that
 * a later start begins with nothing.
 *
 * <p>Invariants: an engine that isLeaving never takes that back, whatever older news come later; a
 * rest lasts until the latest of the times that were said. Thread-safe: answers are read on client
 * threads, before they are passed on, and decisions are made on the dispatch thread.
 */
public final class EngineNotices {

  /**
   * How long it is remembered that an engine isLeaving whose entry is gone: entries lapse while the
   * store is away, for 13 s when it was seen, and may come back. Judged: long enough for any such
   * time, short enough that what is kept stays small.
   */
  static final long KEPT_UNLISTED_NANOS = TimeUnit.MINUTES.toNanos(10);

  private final long lastResortNanos;
  private final Map<String, Long> leavingSince = new ConcurrentHashMap<>();
  private final Map<String, Long> restEnds = new ConcurrentHashMap<>();
  private final EngineLimits limits;
  private final ReportedLoads reportedLoads = new ReportedLoads();
  private final Queue<LeavingNotice> found = new ConcurrentLinkedQueue<>();

  /**
   * Nothing has been said yet.
   *
   * @param node name of this node
   * @param lastResortNanos how long an engine may still be sent requests after it was found to
   *     leave
   */
  EngineNotices(String node, long lastResortNanos) {
    this.limits = new EngineLimits(node);
    this.lastResortNanos = lastResortNanos;
  }

  /** How many requests engines take, as they say it. */
  public EngineLimits limits() {
    return limits;
  }

  /** What engines say of their load. */
  public ReportedLoads reportedLoads() {
    return reportedLoads;
  }

  /** An engine is found to leave; nothing changes where that is known. */
  public void onLeaving(String engineId, NoticeSource source, long nowNanos) {
    if (leavingSince.putIfAbsent(engineId, nowNanos) == null) {
      found.add(new LeavingNotice(engineId, source));
    }
  }

  /** Engines that were found to leave since the last call. */
  List<LeavingNotice> takePending() {
    List<LeavingNotice> taken = new ArrayList<>();
    for (LeavingNotice next = found.poll(); next != null; next = found.poll()) {
      taken.add(next);
    }
    return taken;
  }

  /** An engine wants nothing from this node for a time; whether it is longer than what was said. */
  public boolean onRest(String engineId, long restNanos, long nowNanos) {
    long end = nowNanos + restNanos;
    Long before = restEnds.get(engineId);
    restEnds.merge(engineId, end, (old, now) -> now - old > 0 ? now : old);
    return restNanos > 0 && (before == null || end - before > 0);
  }

  /** Whether an engine has said that it isLeaving. */
  public boolean isLeaving(String engineId) {
    return leavingSince.containsKey(engineId);
  }

  /**
   * Whether a request may be sent to an engine. Asked when its sending begins, since it may have
   * been decided and have waited for a connection before the engine said anything.
   */
  public boolean takesRequests(String engineId, long nowNanos) {
    Long since = leavingSince.get(engineId);
    boolean gone = since != null && nowNanos - since >= lastResortNanos;
    return !gone && !rests(engineId, nowNanos);
  }

  /** Whether an engine wants nothing from this node now. */
  public boolean rests(String engineId, long nowNanos) {
    Long end = restEnds.get(engineId);
    return end != null && nowNanos - end < 0;
  }

  /** When the last rest of an engine ends, or has ended. */
  OptionalLong restEnd(String engineId) {
    Long end = restEnds.get(engineId);
    return end == null ? OptionalLong.empty() : OptionalLong.of(end);
  }

  /** Forgets engines that are listed no more, once their entries can't merely have lapsed. */
  void retain(Set<String> listed, long nowNanos) {
    limits.retain(listed, nowNanos);
    leavingSince
        .entrySet()
        .removeIf(
            known ->
                !listed.contains(known.getKey())
                    && nowNanos - known.getValue() > KEPT_UNLISTED_NANOS);
    restEnds
        .entrySet()
        .removeIf(rest -> !listed.contains(rest.getKey()) && nowNanos - rest.getValue() >= 0);
  }
}
