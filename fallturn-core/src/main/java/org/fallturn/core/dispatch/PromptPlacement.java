package org.fallturn.core.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fallturn.core.routing.EngineProfile;
import org.fallturn.core.routing.ServingEngine;

/**
 * Chooses how a prompt is read: by a prefill engine whose KV cache a decode engine fetches, or by
 * the decode engine itself. Each way is priced by the time to the first token, in ms: tokens that
 * wait there, tokens that are not cached there, the move of the KV cache, distance and health. One
 * thread calls.
 */
final class PromptPlacement {

  private static final double MEGABITS_PER_BYTE = 8e-6;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** A second call and the start of a move. */
  private static final double SECOND_CALL_MILLIS = 8;

  private static final double OTHER_ZONE_MILLIS = 3;
  private static final double FAILURE_MILLIS = 300;
  private static final double RUNNING_MILLIS = 0.3;

  private final EngineSelector selector;
  private final PeerLoads peerLoads;
  private final String zone;

  /**
   * An engine and what is to be done there.
   *
   * @param engine the engine
   * @param prefill whether it only reads the prompt
   * @param uncachedTokens tokens it has to read
   * @param aheadTokens tokens that wait there before
   * @param millis expected time to the first token
   */
  record Plan(
      ServingEngine engine, boolean prefill, int uncachedTokens, long aheadTokens, double millis) {}

  PromptPlacement(EngineSelector selector, PeerLoads peerLoads, String zone) {
    this.selector = selector;
    this.peerLoads = peerLoads;
    this.zone = zone;
  }

  /** The best way; empty when no engine can take the prompt. */
  Optional<Plan> choose(
      RequestProgress progress,
      boolean mayPrefill,
      ReadingSpeed speed,
      Optional<EngineProfile> profile,
      long nowNanos) {
    PromptShape prompt = progress.envelope().prompt().orElseThrow();
    Optional<Plan> direct = bestRun(progress, prompt, speed, profile, nowNanos);
    Optional<Plan> ahead =
        mayPrefill ? bestPrefill(progress, prompt, speed, profile, nowNanos) : Optional.empty();
    if (direct.isEmpty() || ahead.isEmpty()) {
      return direct.or(() -> ahead);
    }
    return ahead.get().millis() < direct.get().millis() ? ahead : direct;
  }

  private Optional<Plan> bestPrefill(
      RequestProgress progress,
      PromptShape prompt,
      ReadingSpeed speed,
      Optional<EngineProfile> profile,
      long nowNanos) {
    List<ServingEngine> candidates = selector.prefillCandidates(progress, nowNanos);
    Optional<ServingEngine> home = selector.home(prompt, candidates);
    double moveMillis = moveMillis(prompt, profile);
    return candidates.stream()
        .map(
            engine -> {
              long backlog = selector.backlogTokens(engine, nowNanos);
              int uncached = selector.uncachedTokens(engine, prompt, home);
              double millis =
                  speed.prefillMillis(backlog + uncached)
                      + moveMillis
                      + SECOND_CALL_MILLIS
                      + commonMillis(engine, zone);
              return new Plan(engine, true, uncached, backlog, millis);
            })
        .min(byTime(progress));
  }

  private Optional<Plan> bestRun(
      RequestProgress progress,
      PromptShape prompt,
      ReadingSpeed speed,
      Optional<EngineProfile> profile,
      long nowNanos) {
    Optional<CacheSource> source = progress.source();
    String near = source.map(from -> from.engine().zone()).orElse(zone);
    double moveMillis = source.isPresent() ? moveMillis(prompt, profile) : 0;
    return selector.runCandidates(progress, nowNanos).stream()
        .map(
            engine -> {
              long backlog = selector.backlogTokens(engine, nowNanos);
              int uncached = source.isPresent() ? 0 : selector.uncachedTokens(engine, prompt);
              int running =
                  selector.load(engine).running() + peerLoads.running(engine.id(), nowNanos);
              double distance = engine.zone().equals(near) ? 1 : 2;
              double millis =
                  speed.decodeMillis(backlog + uncached)
                      + moveMillis * distance
                      + RUNNING_MILLIS * running
                      + crowdedMillis(engine, running)
                      + commonMillis(engine, near);
              return new Plan(engine, false, uncached, backlog, millis);
            })
        .min(byTime(progress));
  }

  /** Past its slots a request waits for another to end. */
  private static double crowdedMillis(ServingEngine engine, int running) {
    int over = Math.max(0, running + 1 - engine.slots());
    return over * SECOND_CALL_MILLIS;
  }

  private double commonMillis(ServingEngine engine, String near) {
    return (engine.zone().equals(near) ? 0 : OTHER_ZONE_MILLIS)
        + FAILURE_MILLIS * selector.load(engine).health().failureShare();
  }

  private static double moveMillis(PromptShape prompt, Optional<EngineProfile> profile) {
    if (profile.isEmpty() || profile.get().linkMegabitsPerSecond() <= 0) {
      return 0;
    }
    double megabits = prompt.promptTokens() * profile.get().tokenBytes() * MEGABITS_PER_BYTE;
    return MILLIS_PER_SECOND * megabits / profile.get().linkMegabitsPerSecond();
  }

  /** Equal times are decided by the request's id, so that nodes do not all take one engine. */
  private static Comparator<Plan> byTime(RequestProgress progress) {
    String requestId = progress.envelope().requestId();
    return Comparator.comparingDouble(Plan::millis)
        .thenComparingLong(plan -> EngineSelector.tieBreak(requestId, plan.engine()));
  }
}
