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
 * Asks model engines which prompt parts they keep, since what is believed drifts away from the
 * truth. One node asks an engine every few seconds and tells the others. A node that has just
 * started asks the others for all that they know; what none of them tells it asks itself. An answer
 * holds up the engine's work for a moment, so that few are asked at once. Only the dispatch thread
 * calls; answers come back to it as events.
 */
final class CacheSurvey {

  private static final int MAX_ASKED_AT_ONCE = 6;

  /** How often an engine is asked by the fleet. */
  private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** After which a node asks although another should have: three rounds were missed. */
  private static final long LONGEST_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(15);

  /** How long a node that has just started waits for what the others know. */
  private static final long WAIT_FOR_PEERS_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** A prompt that waits longer for what engines keep gains less than it loses. */
  private static final long LONGEST_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final CacheLister lister;
  private final Consumer<DispatchEvent> events;
  private final Predicate<String> asks;
  private final boolean firstStart;
  private final Map<String, Surveyed> engines = new HashMap<>();
  private int asked;
  private boolean begun;
  private long begunNanos;
  private volatile int answered;

  /** Way to an engine's list. */
  interface CacheLister {

    /**
     * Asks an engine.
     *
     * @param answer told once, on any thread, without parts when the engine did not say
     */
    void listCache(ServingEngine engine, Consumer<Optional<List<PromptPart>>> answer);
  }

  /** One engine. */
  private static final class Surveyed {
    private ServingEngine engine;
    private boolean known;
    private long lastNanos;
    private boolean asking;

    Surveyed(ServingEngine engine, boolean known, long nowNanos) {
      this.engine = engine;
      this.known = known;
      this.lastNanos = nowNanos;
    }
  }

  /**
   * A survey that has asked nobody.
   *
   * @param events told of each answer, with {@link DispatchEvent.CacheListed}
   * @param asks whether this node is the one that asks an engine, by id
   * @param firstStart whether the whole system starts for the first time, so that engines keep
   *     nothing yet
   */
  CacheSurvey(
      CacheLister lister,
      Consumer<DispatchEvent> events,
      Predicate<String> asks,
      boolean firstStart) {
    this.lister = lister;
    this.events = events;
    this.asks = asks;
    this.firstStart = firstStart;
  }

  /**
   * Whether prompts that share much with others had better wait: just after the start, while what
   * engines keep is not known.
   */
  boolean wantsPatience(long nowNanos) {
    return nowNanos - begunNanos < LONGEST_PATIENCE_NANOS && someUnknown();
  }

  /** Whether the other nodes should be asked for what they know. */
  boolean wantsListings(long nowNanos) {
    return begun && nowNanos - begunNanos < WAIT_FOR_PEERS_NANOS && someUnknown();
  }

  private boolean someUnknown() {
    return engines.values().stream().anyMatch(surveyed -> !surveyed.known);
  }

  /** Takes a newer list of engines. Engines that come later have just begun and keep nothing. */
  void onDirectory(EngineDirectory newDirectory, long nowNanos) {
    boolean areNew = begun || firstStart;
    if (!begun) {
      begun = true;
      begunNanos = nowNanos;
    }
    Set<String> present = new HashSet<>();
    for (ServingEngine engine : newDirectory.all()) {
      if (engine.stage() != EngineStage.NONE) {
        present.add(engine.id());
        engines.computeIfAbsent(engine.id(), id -> new Surveyed(engine, areNew, nowNanos)).engine =
            engine;
      }
    }
    engines.keySet().retainAll(present);
    answered = (int) engines.values().stream().filter(surveyed -> surveyed.known).count();
  }

  /** Another node told what an engine keeps. */
  void onPeerReport(String engineId, long nowNanos) {
    Surveyed surveyed = engines.get(engineId);
    if (surveyed != null) {
      onKnown(surveyed, nowNanos);
    }
  }

  private void onKnown(Surveyed surveyed, long nowNanos) {
    surveyed.lastNanos = nowNanos;
    if (!surveyed.known) {
      surveyed.known = true;
      answered++;
    }
  }

  /** An engine answered, or did not. */
  void onAnswer(DispatchEvent.CacheListed answer, long nowNanos) {
    asked--;
    Surveyed surveyed = engines.get(answer.engineId());
    if (surveyed != null) {
      surveyed.asking = false;
      surveyed.lastNanos = nowNanos;
      if (answer.parts().isPresent()) {
        onKnown(surveyed, nowNanos);
      }
    }
    onTick(nowNanos);
  }

  /** Asks the engines that are due; those that read prompts ahead keep most and go first. */
  void onTick(long nowNanos) {
    List<Surveyed> due = new ArrayList<>();
    for (Surveyed surveyed : engines.values()) {
      if (!surveyed.asking && isDue(surveyed, nowNanos)) {
        due.add(surveyed);
      }
    }
    due.sort(Comparator.comparing(surveyed -> surveyed.engine.stage() != EngineStage.PREFILL));
    for (Surveyed surveyed : due) {
      if (asked < MAX_ASKED_AT_ONCE) {
        ask(surveyed, nowNanos);
      }
    }
  }

  /** Who asks is looked up last: it weighs every relay, and most ticks find that nothing is due. */
  private boolean isDue(Surveyed surveyed, long nowNanos) {
    long since = nowNanos - surveyed.lastNanos;
    if (since >= (surveyed.known ? LONGEST_PAUSE_NANOS : WAIT_FOR_PEERS_NANOS)) {
      return true;
    }
    boolean perhapsDue = !surveyed.known || since >= PAUSE_NANOS;
    return perhapsDue && asks.test(surveyed.engine.id());
  }

  private void ask(Surveyed surveyed, long nowNanos) {
    surveyed.asking = true;
    asked++;
    ServingEngine engine = surveyed.engine;
    lister.listCache(engine, parts -> events.accept(event(engine, nowNanos, parts)));
  }

  /** Of how many engines it is known what they keep; any thread may call. */
  int answered() {
    return answered;
  }

  private static DispatchEvent event(
      ServingEngine engine, long askedAtNanos, Optional<List<PromptPart>> parts) {
    return new DispatchEvent.CacheListed(
        engine.id(), askedAtNanos, parts.map(known -> new PlacedPrompt(engine.id(), 0, known)));
  }
}
