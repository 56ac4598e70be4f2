package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.fallturn.core.routing.EngineDirectory;

/**
 * Builds the digests that this node reports to the others: per engine, the load that this node has
 * there, and what it knows of the engine that the others may not know yet. Confined to one thread.
 */
final class LocalDigests {

  /**
   * How long a sign of life is reported to the others: two reporting intervals of 100 ms, as one
   * report may be lost.
   */
  private static final long REPORTED_SIGN_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final EngineSelector selector;
  private final EngineNotices notices;
  private final PaceObserver pace;

  LocalDigests(EngineSelector selector, EngineNotices notices, PaceObserver pace) {
    this.selector = selector;
    this.notices = notices;
    this.pace = pace;
  }

  /**
   * Returns the digests by engine id. Engines of which there is nothing to report are left out.
   *
   * @param listed the engines as their directory entries describe them
   */
  Map<String, EngineDigest> all(EngineDirectory listed, long nowNanos) {
    Map<String, EngineDigest> digests = new HashMap<>();
    Stream.concat(notices.limits().known().stream(), notices.leaving().stream())
        .flatMap(id -> listed.find(id).stream())
        .forEach(selector::load);
    selector
        .loads()
        .forEach(
            (id, load) -> {
              if (hasAnythingToReport(id, load, listed, nowNanos)) {
                digests.put(id, digest(id, load, listed, nowNanos));
              }
            });
    return digests;
  }

  private EngineDigest digest(String id, EngineLoad load, EngineDirectory listed, long nowNanos) {
    return new EngineDigest(
        load.running(),
        load.streams(),
        load.backlog().toList(),
        load.longestUnread(),
        load.health().warnsOthers(nowNanos) ? 1 : 0,
        selector.isChangingStage(id) ? 1 : 0,
        heardAgoMillis(load, nowNanos),
        isListedAndLeaving(id, listed) ? 1 : 0,
        notices.limits().digest(id, nowNanos),
        pace.recentPace(id, nowNanos));
  }

  /**
   * Returns whether there is anything to report of an engine. This is called for all engines at
   * each reporting interval, and this node does not use most of them at the time.
   */
  private boolean hasAnythingToReport(
      String id, EngineLoad load, EngineDirectory listed, long nowNanos) {
    return !load.idle()
        || load.heardWithin(REPORTED_SIGN_NANOS, nowNanos)
        || load.health().warnsOthers(nowNanos)
        || selector.isChangingStage(id)
        || isListedAndLeaving(id, listed)
        || !notices.limits().digest(id, nowNanos).isNegligible()
        || !pace.recentPace(id, nowNanos).isNegligible();
  }

  /**
   * Returns whether an engine is leaving and its entry has not gone. It is reported even if the
   * entry says so: other nodes may have an older copy of the directory, and this report reaches
   * them sooner than the rows do.
   */
  private boolean isListedAndLeaving(String id, EngineDirectory listed) {
    return notices.isLeaving(id) && listed.find(id).isPresent();
  }

  private static int heardAgoMillis(EngineLoad load, long nowNanos) {
    OptionalLong heard = load.heardNanos();
    return heard.isEmpty()
        ? EngineDigest.NOT_HEARD
        : (int) TimeUnit.NANOSECONDS.toMillis(nowNanos - heard.getAsLong());
  }
}
