package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.routing.EngineDirectory;

/**
 * What this node tells the others of each engine: what it has there, and what it knows of the
 * engine that they may not know yet. One thread calls.
 */
final class LocalDigests {

  /** Of a sign of life, others are told this long: two turns of 100 ms, as one may be lost. */
  private static final long TOLD_SIGN_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final EngineSelector selector;
  private final EngineNotices notices;
  private final PaceObserver pace;

  LocalDigests(EngineSelector selector, EngineNotices notices, PaceObserver pace) {
    this.selector = selector;
    this.notices = notices;
    this.pace = pace;
  }

  /**
   * The digests by engine; engines of which there is nothing to say are left out.
   *
   * @param listed the engines as their entries tell them
   */
  Map<String, EngineDigest> all(EngineDirectory listed, long nowNanos) {
    Map<String, EngineDigest> digests = new HashMap<>();
    notices.limits().known().stream()
        .flatMap(id -> listed.find(id).stream())
        .forEach(selector::load);
    selector
        .loads()
        .forEach(
            (id, load) -> {
              if (hasNews(id, load, listed, nowNanos)) {
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
        load.health().warnsOthers(nowNanos) ? 1 : 0,
        selector.isChangingStage(id) ? 1 : 0,
        heardAgoMillis(load, nowNanos),
        leavesUnlisted(id, listed) ? 1 : 0,
        notices.limits().digest(id, nowNanos),
        pace.recent(id, nowNanos));
  }

  /** Asked of all engines at each turn, most of which this node does not use just now. */
  private boolean hasNews(String id, EngineLoad load, EngineDirectory listed, long nowNanos) {
    return !load.idle()
        || load.heardWithin(TOLD_SIGN_NANOS, nowNanos)
        || load.health().warnsOthers(nowNanos)
        || selector.isChangingStage(id)
        || leavesUnlisted(id, listed)
        || !notices.limits().digest(id, nowNanos).isNegligible()
        || !pace.recent(id, nowNanos).isNegligible();
  }

  /** Whether an engine isLeaving without saying so in its entry: others may not know it yet. */
  private boolean leavesUnlisted(String id, EngineDirectory listed) {
    return notices.isLeaving(id) && listed.find(id).filter(engine -> !engine.leaving()).isPresent();
  }

  private static int heardAgoMillis(EngineLoad load, long nowNanos) {
    OptionalLong heard = load.heardNanos();
    return heard.isEmpty()
        ? EngineDigest.NOT_HEARD
        : (int) TimeUnit.NANOSECONDS.toMillis(nowNanos - heard.getAsLong());
  }
}
