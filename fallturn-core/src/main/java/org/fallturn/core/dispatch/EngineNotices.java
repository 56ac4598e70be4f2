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
 * What engines announce about themselves in their answers: that they are leaving, until when they
 * want a rest (no requests from this node), the rate limit that they set for all nodes together,
 * and their load. Notices are kept by engine incarnation, so that a restarted engine begins without
 * any.
 *
 * <p>Invariants: an engine that has announced that it is leaving stays so, whatever older reports
 * arrive later; a rest lasts until the latest of the announced times.
 *
 * <p>Thread-safe: client threads take the notices of an answer before they pass it on, and the
 * dispatch thread decides.
 */
public final class EngineNotices {

  /**
   * How long this node remembers that an engine is leaving after the engine's directory entry is
   * gone. Entries expire while the store is unreachable (for 13 s in an observed case) and may come
   * back. The time is an estimate, meant to be longer than any such outage and short enough to keep
   * little.
   */
  static final long KEPT_UNLISTED_NANOS = TimeUnit.MINUTES.toNanos(10);

  private final long lastResortNanos;
  private final Map<String, Long> leavingSince = new ConcurrentHashMap<>();
  private final Map<String, Long> restEnds = new ConcurrentHashMap<>();
  private final EngineLimits limits;
  private final ReportedLoads reportedLoads = new ReportedLoads();
  private final Queue<LeavingNotice> pending = new ConcurrentLinkedQueue<>();

  /**
   * Creates an instance without any notices.
   *
   * @param node name of this node
   * @param lastResortNanos how long an engine that is leaving may still be sent requests, in ns
   */
  EngineNotices(String node, long lastResortNanos) {
    this.limits = new EngineLimits(node);
    this.lastResortNanos = lastResortNanos;
  }

  /** Returns the rate limits that engines announce. */
  public EngineLimits limits() {
    return limits;
  }

  /** Returns the load that engines report. */
  public ReportedLoads reportedLoads() {
    return reportedLoads;
  }

  /** Records that an engine is leaving. Does nothing if that is known already. */
  public void onLeaving(String engineId, NoticeSource source, long nowNanos) {
    if (leavingSince.putIfAbsent(engineId, nowNanos) == null) {
      pending.add(new LeavingNotice(engineId, source));
    }
  }

  /** Removes and returns the notices of leaving engines since the last call. */
  List<LeavingNotice> takePending() {
    List<LeavingNotice> taken = new ArrayList<>();
    for (LeavingNotice next = pending.poll(); next != null; next = pending.poll()) {
      taken.add(next);
    }
    return taken;
  }

  /**
   * Records that an engine wants no requests from this node for a time. Returns whether that
   * prolongs its rest.
   */
  public boolean onRest(String engineId, long restNanos, long nowNanos) {
    long end = nowNanos + restNanos;
    Long before = restEnds.get(engineId);
    restEnds.merge(engineId, end, (old, now) -> now - old > 0 ? now : old);
    return restNanos > 0 && (before == null || end - before > 0);
  }

  /** Returns the ids of the engines that are leaving. */
  Set<String> leaving() {
    return Set.copyOf(leavingSince.keySet());
  }

  /** Returns whether an engine is leaving. */
  public boolean isLeaving(String engineId) {
    return leavingSince.containsKey(engineId);
  }

  /**
   * Returns whether a request may be sent to an engine. Callers ask again when the sending begins:
   * the engine may have sent a notice after the decision, while the request waited for a
   * connection.
   */
  public boolean takesRequests(String engineId, long nowNanos) {
    Long since = leavingSince.get(engineId);
    boolean pastLastResort = since != null && nowNanos - since >= lastResortNanos;
    return !pastLastResort && !rests(engineId, nowNanos);
  }

  /** Returns whether an engine wants no requests from this node now. */
  public boolean rests(String engineId, long nowNanos) {
    Long end = restEnds.get(engineId);
    return end != null && nowNanos - end < 0;
  }

  /** Returns when the last rest of an engine ends or ended. */
  OptionalLong restEnd(String engineId) {
    Long end = restEnds.get(engineId);
    return end == null ? OptionalLong.empty() : OptionalLong.of(end);
  }

  /**
   * Forgets the engines that are no longer listed, once their directory entries cannot merely have
   * expired.
   */
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
