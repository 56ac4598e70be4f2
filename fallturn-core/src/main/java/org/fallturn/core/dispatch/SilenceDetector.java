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
 * Detects engines that have gone silent and attempts that are stuck (a failure detector).
 *
 * <p>An engine that reads a prompt sends nothing until it has read it. How long it may be silent
 * therefore follows from its pace and from the prompts that wait there: the time to read the
 * longest of them.
 *
 * <p>Invariant: an engine that works is never taken for silent, whatever the length of the prompts,
 * if it reads no more than {@link #DEFAULT_SLOWNESS} times slower than the learned speed of its
 * service, or no slower than its own learned pace, and if what other nodes have there is known.
 * Confined to one thread.
 */
final class SilenceDetector {

  /**
   * Time allowed beyond the reading itself. It covers the delay until the load and the signs of
   * life of other nodes are known here (a reporting interval of 100 ms and a delay of 60 ms through
   * relays), and the time that a node with a third of a CPU core takes to process what has arrived.
   */
  private static final long BASE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /**
   * Factor by which an engine may be slower than the learned speed of its service before its own
   * pace is learned.
   */
  private static final double DEFAULT_SLOWNESS = 1.3;

  /**
   * Number of prompts sent later that must overtake the prompt of an attempt before the attempt
   * counts as lost. Engines read in order of urgency and arrival, but a short prompt may overtake a
   * long one. This value is an estimate.
   */
  private static final int OVERTAKEN_TIMES_WHEN_LOST = 3;

  /**
   * Multiple of its timeout after which an attempt that has priority over others counts as lost,
   * counted from when the engine next answered any node: its connection may have gone silent. This
   * value is an estimate.
   */
  private static final int TIMEOUTS_WHEN_LOST = 3;

  private final EngineSelector selector;
  private final PeerLoads peerLoads;
  private final Function<String, PrefillSpeed> speeds;
  private final Function<String, Optional<EngineProfile>> profiles;
  private OptionalLong firstListedNanos = OptionalLong.empty();
  private boolean peersKnown;

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
   * Records that this node received a list of engines. From the first list on, this node also
   * learns from other nodes which prompts they send to the engines.
   */
  void onDirectory(long nowNanos) {
    if (firstListedNanos.isEmpty()) {
      firstListedNanos = OptionalLong.of(nowNanos);
    }
  }

  /** Sets whether any other node has been heard or there is none. */
  void setPeersKnown(boolean known) {
    peersKnown = known;
  }

  /**
   * Returns whether prompts may wait at engines that were sent before this node started and that no
   * other node has reported to this one. Such prompts have been read or given up once the timeout
   * of a route has passed.
   */
  private boolean mayMissPrompts(RequestProgress progress, long nowNanos) {
    long routeTime = progress.envelope().route().timeout().toNanos();
    return firstListedNanos.isPresent() && nowNanos - firstListedNanos.getAsLong() < routeTime;
  }

  /** Suspends the engines that have gone silent while requests of this node wait there. */
  void check(long nowNanos) {
    selector.loads().values().forEach(load -> check(load, nowNanos));
  }

  private void check(EngineLoad load, long nowNanos) {
    load.oldest()
        .filter(oldest -> isSilent(oldest, nowNanos))
        .ifPresent(oldest -> load.health().onSilence(nowNanos));
  }

  /**
   * Returns whether the engine of a request has been silent for too long since the request was
   * sent.
   */
  private boolean isSilent(RequestProgress progress, long nowNanos) {
    ServingEngine engine = progress.engine().orElseThrow();
    boolean mayMiss = mayMissPrompts(progress, nowNanos);
    if (mayMiss && !peersKnown && engine.stage() != EngineStage.NONE) {
      return false;
    }
    return silentNanos(engine, progress, nowNanos) > boundNanos(engine, mayMiss, nowNanos);
  }

  private void recordSignOfLife(RequestProgress progress, ServingEngine engine, long nowNanos) {
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
   * Returns how long the engine may be silent while it works, in ns.
   *
   * @param mayMiss whether prompts may wait there that this node does not know
   */
  private long boundNanos(ServingEngine engine, boolean mayMiss, long nowNanos) {
    if (engine.stage() == EngineStage.NONE) {
      return BASE_NANOS;
    }
    long tokens = longestTokens(engine, mayMiss, nowNanos);
    double readMillis = speeds.apply(engine.service()).readMillis(engine.stage(), tokens);
    double moveMillis = CacheCopyTime.moveMillis(tokens, profiles.apply(engine.service()));
    return BASE_NANOS
        + (long)
            (slowness(engine, nowNanos)
                * (readMillis + moveMillis)
                * TimeUnit.MILLISECONDS.toNanos(1));
  }

  /**
   * Returns the factor by which the engine may be slower than its service. The learned factor
   * counts where it is higher, since a slow engine is not a dead one.
   */
  private double slowness(ServingEngine engine, long nowNanos) {
    return Math.max(DEFAULT_SLOWNESS, selector.slowness(engine, WorkKind.READING, nowNanos));
  }

  /**
   * Returns the length in tokens of the longest prompt that the engine may be reading. It is no
   * longer than all that waits there, nor than the longest recent prompt of the service. If this
   * node may not know all prompts, the longest one that the other nodes report there counts too.
   * Their whole backlog must not count as one prompt: in an overloaded fleet it takes seconds to
   * read, and requests would wait that long at an engine that does not answer.
   */
  private long longestTokens(ServingEngine engine, boolean mayMiss, long nowNanos) {
    long backlog = selector.backlogTokens(engine, nowNanos);
    long recent = selector.sizes(engine.service()).longest(nowNanos);
    if (recent == 0) {
      return backlog;
    }
    long missed = mayMiss ? peerLoads.longestPrompt(engine.id(), nowNanos) : 0;
    return Math.min(backlog, Math.max(recent, missed));
  }

  /**
   * Returns why an attempt without a sign of life should be ended; empty if it should go on
   * waiting.
   *
   * <p>Before its timeout, an attempt ends only if its engine has gone silent and another engine
   * can take the request. After the timeout, it waits on while its prompt merely waits behind
   * others: the engine has answered some node recently and has not read prompts that were sent
   * later.
   *
   * @param timeout timeout of the attempt
   */
  Optional<StuckReason> stuck(RequestProgress progress, Duration timeout, long nowNanos) {
    long waited = nowNanos - progress.sentNanos();
    if (progress.engineHeardNanos().isEmpty()) {
      progress.engine().ifPresent(engine -> recordSignOfLife(progress, engine, nowNanos));
    }
    if (waited < timeout.toNanos()) {
      return silentWithinTimeout(progress, nowNanos)
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
    boolean quiet = silentNanos(engine, progress, nowNanos) >= BASE_NANOS;
    if (quiet && selector.suspected(engine, nowNanos)) {
      return Optional.of(StuckReason.ENGINE_SUSPECTED);
    }
    if (skippedForOthers(progress, timeout, nowNanos)) {
      return Optional.of(StuckReason.CONNECTION_SILENT);
    }
    return progress.overtakenCount() >= OVERTAKEN_TIMES_WHEN_LOST
        ? Optional.of(StuckReason.OVERTAKEN)
        : Optional.empty();
  }

  /**
   * Returns whether the engine of a request was suspended for silence and has been silent since the
   * request was sent, too.
   */
  private boolean silentWithinTimeout(RequestProgress progress, long nowNanos) {
    return progress
        .engine()
        .map(engine -> selector.load(engine).health())
        .filter(health -> health.suspended() && health.silent() && progress.mayGoElsewhere())
        .filter(health -> isSilent(progress, nowNanos))
        .filter(health -> hasAlternative(progress, nowNanos))
        .isPresent();
  }

  /**
   * Returns whether another engine can take a request. While none can, its caller is better off
   * with an answer that may still come than with an error now.
   */
  private boolean hasAlternative(RequestProgress progress, long nowNanos) {
    return !selector.runCandidates(progress, nowNanos).isEmpty()
        || progress.prefilling() && !selector.prefillCandidates(progress, nowNanos).isEmpty();
  }

  /**
   * Returns whether a request that has priority over others is unanswered although its engine has
   * read another prompt since, and has then had time for all prompts that were expected to be read
   * before.
   */
  private static boolean skippedForOthers(
      RequestProgress progress, Duration timeout, long nowNanos) {
    OptionalLong heard = progress.engineHeardNanos();
    return !progress.sentAsLate()
        && heard.isPresent()
        && nowNanos - heard.getAsLong() >= TIMEOUTS_WHEN_LOST * timeout.toNanos();
  }
}
