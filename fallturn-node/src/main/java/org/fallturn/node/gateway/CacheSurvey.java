package org.fallturn.node.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fallturn.core.dispatch.PlacedPrompt;
import org.fallturn.core.dispatch.PromptPart;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;

/**
 * Asks each model engine which prompt parts it keeps: as soon as it appears in the list, and again
 * every few seconds. After a start this node would otherwise have every shared part read again
 * although the engines still keep them, and later its belief would drift away from the truth. An
 * answer holds up the engine's work for a moment, so that few are asked at once. Only the dispatch
 * thread calls; answers come back to it as events.
 */
final class CacheSurvey {

  private static final int MAX_ASKED_AT_ONCE = 6;

  private static final long MIN_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long PAUSE_A_NODE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A prompt that waits longer for what engines keep gains less than it loses. */
  private static final long LONGEST_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final CacheLister lister;
  private final Consumer<DispatchEvent> events;
  private final Deque<ServingEngine> waiting = new ArrayDeque<>();
  private final Set<String> heard = new HashSet<>();
  private Set<String> listed = new HashSet<>();
  private int asked;
  private boolean begun;
  private long begunNanos;
  private long lastRoundNanos;
  private EngineDirectory directory = EngineDirectory.empty();
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

  /**
   * A survey that has asked nobody.
   *
   * @param events told of each answer, with {@link DispatchEvent.CacheListed}
   */
  CacheSurvey(CacheLister lister, Consumer<DispatchEvent> events) {
    this.lister = lister;
    this.events = events;
  }

  /**
   * Whether prompts that share much with others had better wait: just after the start, while
   * engines are still being asked.
   */
  boolean wantsPatience(long nowNanos) {
    boolean asking = asked > 0 || !waiting.isEmpty();
    return asking && nowNanos - begunNanos < LONGEST_PATIENCE_NANOS;
  }

  /** Takes a newer list of engines. */
  void onDirectory(EngineDirectory newDirectory, long nowNanos) {
    if (!begun) {
      begun = true;
      begunNanos = nowNanos;
      lastRoundNanos = nowNanos;
    }
    Set<String> present = new HashSet<>();
    for (ServingEngine engine : newDirectory.all()) {
      present.add(engine.id());
      if (!listed.contains(engine.id())) {
        add(engine);
      }
    }
    listed = present;
    directory = newDirectory;
    heard.retainAll(present);
    askNext();
  }

  /** Engines that read prompts ahead keep most shared parts and are asked first. */
  private void add(ServingEngine engine) {
    if (engine.stage() == EngineStage.PREFILL) {
      waiting.addFirst(engine);
    } else if (engine.stage() == EngineStage.DECODE) {
      waiting.addLast(engine);
    }
  }

  /** An engine answered, or did not. */
  void onAnswer(DispatchEvent.CacheListed answer) {
    asked--;
    if (answer.parts().isPresent()) {
      heard.add(answer.engineId());
      answered = heard.size();
    }
    askNext();
  }

  /**
   * Asks all engines again when it is time: what is believed of their caches drifts away from what
   * they keep. The more nodes ask, the less often each does.
   */
  void onTick(long nowNanos, int nodes) {
    long pause = Math.max(MIN_PAUSE_NANOS, nodes * PAUSE_A_NODE_NANOS);
    if (asked == 0 && waiting.isEmpty() && nowNanos - lastRoundNanos >= pause) {
      lastRoundNanos = nowNanos;
      directory.all().forEach(this::add);
      askNext();
    }
  }

  /** How many engines have said what they keep; any thread may call. */
  int answered() {
    return answered;
  }

  private void askNext() {
    while (asked < MAX_ASKED_AT_ONCE && !waiting.isEmpty()) {
      ServingEngine engine = waiting.poll();
      asked++;
      long now = System.nanoTime();
      lister.listCache(engine, parts -> events.accept(event(engine, now, parts)));
    }
  }

  private static DispatchEvent event(
      ServingEngine engine, long askedAtNanos, Optional<List<PromptPart>> parts) {
    return new DispatchEvent.CacheListed(
        engine.id(), askedAtNanos, parts.map(known -> new PlacedPrompt(engine.id(), 0, known)));
  }
}
