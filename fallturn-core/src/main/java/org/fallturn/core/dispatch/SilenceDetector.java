package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.fallturn.core.pace.WorkKind;
import org.fallturn.core.routing.EngineProfile;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;

/**
 * Says when an engine that answers nobody has gone silent, and when an attempt there is stuck. An
 * engine that reads a prompt says nothing until it has read it, so that how long it may be silent
 * follows from its pace and from the prompts that wait there: as long as the longest of them takes.
 *
 * <p>Invariant: an engine that reads no more than {@link #SLOWNESS} times slower than the learned
 * speed, or than its learned pace where that is slower, is not taken for silent while it works,
 * whatever the length of the prompts, as far as what other nodes have there is known. One thread
 * calls.
 */
final class SilenceDetector {

  /**
   * Beside the reading: until what another node has there and heard from there is known (a turn of
   * 100 ms and a lag of 60 ms through relays), and until a node of a third of a core has taken what
   * has come. The earlier 400 ms; others were not tried.
   */
  private static final long BASE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** By how much engines of one service may differ before it is learned. */
  private static final double SLOWNESS = 1.3;

  /**
   * Prompts sent later that are read first, before an attempt counts as lost: engines read in order
   * of urgency and arrival, but a short prompt may pass a long one. Judged, not measured.
   */
  private static final int OVERTAKEN_WHEN_LOST = 3;

  /**
   * Patiences, from when the engine next answered anybody, after which an attempt that goes before
   * others counts as lost: its connection may have gone silent. Judged, not measured.
   */
  private static final int PATIENCES_WHEN_LOST = 3;

  private final EngineSelector selector;
  private final PeerLoads peerLoads;
  private final Function<String, PrefillSpeed> speeds;
  private final Function<String, Optional<EngineProfile>> profiles;
  private OptionalLong beganNanos = OptionalLong.empty();
  private boolean othersKnown;

  SilenceDetector(
      EngineSelector selector,
      PeerLoads peerLoads,
      Function<String, PrefillSpeed> speeds,
      Function<String, Optional<EngineProfile>> profiles) {
    this.selector = selector;
    this.peerLoads = peerLoads;
    this.speeds = speeds;
    this.profiles = profiles;
  }

  /**
   * This node learns of engines; the first time is when it begins to hear what others send them.
   */
  void onDirectory(long nowNanos) {
    if (beganNanos.isEmpty()) {
      beganNanos = OptionalLong.of(nowNanos);
    }
  }

  /** Whether any of the other nodes was heard, or there is none. */
  void setPeersKnown(boolean known) {
    othersKnown = known;
  }

  /**
   * Whether prompts may wait at engines that were sent before this node began and that it was never
   * told of; they have been read, or given up, once a route's time has passed.
   */
  private boolean mayMissPrompts(RequestProgress progress, long nowNanos) {
    long routeTime = progress.envelope().route().timeout().toNanos();
    return beganNanos.isPresent() && nowNanos - beganNanos.getAsLong() < routeTime;
  }

  /**
   * Suspends the engines at which requests of this node wait and that have gone silent, and takes
   * back those that have answered another node since.
   */
  void check(long nowNanos) {
    selector.loads().forEach((engineId, load) -> check(engineId, load, nowNanos));
  }

  private void check(String engineId, EngineLoad load, long nowNanos) {
    peerLoads.heardNanos(engineId).ifPresent(load.health()::onPeerSignOfLife);
    load.oldest()
        .filter(oldest -> isSilent(oldest, nowNanos))
        .ifPresent(oldest -> load.health().onSilence(nowNanos));
  }

  /** Whether the engine of a request has said nothing for too long since it was sent. */
  private boolean isSilent(RequestProgress progress, long nowNanos) {
    ServingEngine engine = progress.engine().orElseThrow();
    boolean mayMiss = mayMissPrompts(progress, nowNanos);
    if (mayMiss && !othersKnown && engine.stage() != EngineStage.NONE) {
      return false;
    }
    return silentNanos(engine, progress, nowNanos) > boundNanos(engine, mayMiss, nowNanos);
  }

  private void noteSign(RequestProgress progress, ServingEngine engine, long nowNanos) {
    long silent = silentNanos(engine, progress, nowNanos);
    if (nowNanos - silent - progress.sentNanos() > 0) {
      progress.onEngineHeard(nowNanos - silent);
    }
  }

  private long silentNanos(ServingEngine engine, RequestProgress progress, long nowNanos) {
    OptionalLong peersHeard = peerLoads.heardNanos(engine.id());
    return nowNanos - selector.load(engine).lastSignOfLifeNanos(progress.sentNanos(), peersHeard);
  }

  /**
   * How long the engine may say nothing while it works.
   *
   * @param mayMiss whether prompts may wait there that this node does not know
   */
  private long boundNanos(ServingEngine engine, boolean mayMiss, long nowNanos) {
    if (engine.stage() == EngineStage.NONE) {
      return BASE_NANOS;
    }
    long tokens = longestTokens(engine, mayMiss, nowNanos);
    double read = speeds.apply(engine.service()).readMillis(engine.stage(), tokens);
    double move = CacheCopyTime.moveMillis(tokens, profiles.apply(engine.service()));
    return BASE_NANOS
        + (long) (slowness(engine, nowNanos) * (read + move) * TimeUnit.MILLISECONDS.toNanos(1));
  }

  /** The learned factor counts where it is higher: a slow engine is not a dead one. */
  private double slowness(ServingEngine engine, long nowNanos) {
    return Math.max(SLOWNESS, selector.slowness(engine, WorkKind.READING, nowNanos));
  }

  /**
   * The longest prompt that may be read there now: no longer than what waits, or than any lately.
   * What others have there may be one prompt that this node was never told of.
   */
  private long longestTokens(ServingEngine engine, boolean mayMiss, long nowNanos) {
    long backlog = selector.backlogTokens(engine, nowNanos);
    long lately = selector.sizes(engine.service()).longest(nowNanos);
    if (lately == 0) {
      return backlog;
    }
    long missed = mayMiss ? peerLoads.backlog(engine.id(), nowNanos).upTo(Urgency.LEVELS - 1) : 0;
    return Math.min(backlog, Math.max(lately, missed));
  }

  /**
   * Why an attempt without a sign had better be ended; empty when it is waited for. Once its
   * patience is over, it is waited for while its prompt merely waits behind others: its engine has
   * answered somebody lately, and has not read what was sent after it. Before, it is left only when
   * its engine has gone silent and the request may go elsewhere.
   */
  Optional<StuckReason> stuck(RequestProgress progress, Duration patience, long nowNanos) {
    long waited = nowNanos - progress.sentNanos();
    if (progress.engineHeardNanos().isEmpty()) {
      progress.engine().ifPresent(engine -> noteSign(progress, engine, nowNanos));
    }
    if (waited < patience.toNanos()) {
      return silentBeforeItsTime(progress, nowNanos)
          ? Optional.of(StuckReason.ENGINE_SILENT)
          : Optional.empty();
    }
    if (progress.envelope().prompt().isEmpty() || progress.engine().isEmpty()) {
      return Optional.of(StuckReason.NO_ANSWER);
    }
    ServingEngine engine = progress.engine().get();
    if (isSilent(progress, nowNanos)) {
      return Optional.of(StuckReason.ENGINE_SILENT);
    }
    boolean unheard = silentNanos(engine, progress, nowNanos) >= BASE_NANOS;
    if (unheard && selector.suspected(engine, nowNanos)) {
      return Optional.of(StuckReason.ENGINE_SUSPECTED);
    }
    if (passedOver(progress, patience, nowNanos)) {
      return Optional.of(StuckReason.CONNECTION_SILENT);
    }
    return progress.overtakenCount() >= OVERTAKEN_WHEN_LOST
        ? Optional.of(StuckReason.OVERTAKEN)
        : Optional.empty();
  }

  /**
   * Whether its engine was suspended for silence, and has said nothing since it was sent either.
   */
  private boolean silentBeforeItsTime(RequestProgress progress, long nowNanos) {
    return progress
        .engine()
        .map(engine -> selector.load(engine).health())
        .filter(health -> health.suspended() && health.silent() && progress.mayGoElsewhere())
        .filter(health -> isSilent(progress, nowNanos))
        .isPresent();
  }

  /**
   * Whether a request that goes before others has not been answered although its engine has read
   * something else since, and has then had time for all that was expected to go before.
   */
  private static boolean passedOver(RequestProgress progress, Duration patience, long nowNanos) {
    OptionalLong heard = progress.engineHeardNanos();
    return !progress.sentAsLate()
        && heard.isPresent()
        && nowNanos - heard.getAsLong() >= PATIENCES_WHEN_LOST * patience.toNanos();
  }
}
