package org.fallturn.node.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.fallturn.core.dispatch.PlacedPrompt;
import org.fallturn.core.dispatch.PromptPart;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;

/**
 * Polls model engines for the prompt parts in their caches, since the estimate that this node keeps
 * drifts from the actual contents. One node polls an engine every few seconds and publishes the
 * answer to the others. A node that has just started asks the others for all lists that they have,
 * and polls the engines whose list none of them sent. An answer delays the engine's work for a
 * moment, so few engines are polled at once. Only the dispatch thread calls, except for {@link
 * #answered}; answers return to that thread as events.
 */
final class CacheSurvey {

  private static final int MAX_CONCURRENT_POLLS = 6;

  /** How often the fleet polls an engine. */
  private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** After this time, three missed rounds, a node polls although another should have done so. */
  private static final long MAX_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(15);

  /** How long a node that has just started waits for the lists of other nodes. */
  private static final long WAIT_FOR_PEERS_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /**
   * How long after the start prompts wait for cache lists; a longer wait costs a prompt more than a
   * better placement saves.
   */
  private static final long MAX_PROMPT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final CacheLister lister;
  private final Consumer<DispatchEvent> events;
  private final Predicate<String> pollsEngine;
  private final boolean firstStart;
  private final Map<String, PolledEngine> engines = new HashMap<>();
  private int pendingPolls;
  private boolean started;
  private long startedNanos;
  private volatile int answered;

  /** Requests the cache list of an engine. */
  interface CacheLister {

    /**
     * Asks an engine for the prompt parts in its cache.
     *
     * @param answer called once, on any thread; empty when the engine did not answer
     */
    void listCache(ServingEngine engine, Consumer<Optional<List<PromptPart>>> answer);
  }

  /** What is known about the list of one engine. */
  private static final class PolledEngine {
    private ServingEngine engine;
    private boolean known;
    private long lastNanos;
    private boolean polling;

    /** Whether it sent no list when it was polled last; it is then polled again after a pause. */
    private boolean unanswered;

    PolledEngine(ServingEngine engine, boolean known, long nowNanos) {
      this.engine = engine;
      this.known = known;
      this.lastNanos = nowNanos;
    }
  }

  /**
   * Creates a survey that has polled no engine.
   *
   * @param lister sends the calls to engines
   * @param events receives a {@link DispatchEvent.CacheListed} for each answer
   * @param pollsEngine whether this node is the one that polls the engine with the given id
   * @param firstStart whether the whole system starts for the first time, so that all caches are
   *     empty
   */
  CacheSurvey(
      CacheLister lister,
      Consumer<DispatchEvent> events,
      Predicate<String> pollsEngine,
      boolean firstStart) {
    this.lister = lister;
    this.events = events;
    this.pollsEngine = pollsEngine;
    this.firstStart = firstStart;
  }

  /**
   * Whether prompts that share many tokens with others should wait: shortly after the start, while
   * the list of some engine is missing.
   */
  boolean shouldDelayPrompts(long nowNanos) {
    return nowNanos - startedNanos < MAX_PROMPT_DELAY_NANOS && anyListMissing();
  }

  /** Whether the other nodes should be asked for their lists. */
  boolean wantsListings(long nowNanos) {
    return started && nowNanos - startedNanos < WAIT_FOR_PEERS_NANOS && anyListMissing();
  }

  private boolean anyListMissing() {
    return engines.values().stream().anyMatch(polled -> !polled.known);
  }

  /** Applies a newer list of engines. Engines that are added later start with empty caches. */
  void onDirectory(EngineDirectory newDirectory, long nowNanos) {
    boolean cachesAreEmpty = started || firstStart;
    if (!started) {
      started = true;
      startedNanos = nowNanos;
    }
    Set<String> present = new HashSet<>();
    for (ServingEngine engine : newDirectory.all()) {
      if (engine.stage() != EngineStage.NONE) {
        present.add(engine.id());
        engines.computeIfAbsent(
                    engine.id(), id -> new PolledEngine(engine, cachesAreEmpty, nowNanos))
                .engine =
            engine;
      }
    }
    engines.keySet().retainAll(present);
    answered = (int) engines.values().stream().filter(polled -> polled.known).count();
  }

  /** Another node sent the list of an engine. */
  void onPeerReport(String engineId, long nowNanos) {
    PolledEngine polled = engines.get(engineId);
    if (polled != null) {
      onKnown(polled, nowNanos);
    }
  }

  private void onKnown(PolledEngine polled, long nowNanos) {
    polled.lastNanos = nowNanos;
    if (!polled.known) {
      polled.known = true;
      answered++;
    }
  }

  /** Ends a poll: the engine answered, or the call failed. */
  void onAnswer(DispatchEvent.CacheListed answer, long nowNanos) {
    pendingPolls--;
    PolledEngine polled = engines.get(answer.engineId());
    if (polled != null) {
      polled.polling = false;
      polled.lastNanos = nowNanos;
      polled.unanswered = answer.parts().isEmpty();
      if (answer.parts().isPresent()) {
        onKnown(polled, nowNanos);
      }
    }
    onTick(nowNanos);
  }

  /** Polls the engines that are due. Prefill engines go first, since they cache most. */
  void onTick(long nowNanos) {
    List<PolledEngine> due = new ArrayList<>();
    for (PolledEngine polled : engines.values()) {
      if (!polled.polling && isDue(polled, nowNanos)) {
        due.add(polled);
      }
    }
    due.sort(Comparator.comparing(polled -> polled.engine.stage() != EngineStage.PREFILL));
    for (PolledEngine polled : due) {
      if (pendingPolls < MAX_CONCURRENT_POLLS) {
        poll(polled, nowNanos);
      }
    }
  }

  /**
   * Whether this node should poll the engine now. Looks up last which node polls it: that ranks
   * every relay, and on most ticks nothing is due.
   */
  private boolean isDue(PolledEngine polled, long nowNanos) {
    long since = nowNanos - polled.lastNanos;
    if (since >= (polled.known ? MAX_INTERVAL_NANOS : WAIT_FOR_PEERS_NANOS)) {
      return true;
    }
    boolean mayBeDue = polled.known ? since >= INTERVAL_NANOS : !polled.unanswered;
    return mayBeDue && pollsEngine.test(polled.engine.id());
  }

  private void poll(PolledEngine polled, long nowNanos) {
    polled.polling = true;
    pendingPolls++;
    ServingEngine engine = polled.engine;
    lister.listCache(engine, parts -> events.accept(event(engine, nowNanos, parts)));
  }

  /** Number of engines whose list is known; any thread may call. */
  int answered() {
    return answered;
  }

  private static DispatchEvent event(
      ServingEngine engine, long askedAtNanos, Optional<List<PromptPart>> parts) {
    return new DispatchEvent.CacheListed(
        engine.id(), askedAtNanos, parts.map(known -> new PlacedPrompt(engine.id(), 0, known)));
  }
}
