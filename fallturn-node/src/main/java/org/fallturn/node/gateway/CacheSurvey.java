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
 * Asks each model engine that newly appears in the list, once, which prompt parts it keeps. After a
 * start this node would otherwise have every shared part read again although the engines still keep
 * them. An answer holds up the engine's work for a moment, so that few are asked at once. Only the
 * dispatch thread calls; answers come back to it as events.
 */
final class CacheSurvey {

  private static final int MAX_ASKED_AT_ONCE = 6;

  /** A prompt that waits longer for what engines keep gains less than it loses. */
  private static final long LONGEST_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final CacheLister lister;
  private final Consumer<DispatchEvent> events;
  private final Deque<ServingEngine> waiting = new ArrayDeque<>();
  private Set<String> listed = new HashSet<>();
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
  void onDirectory(EngineDirectory directory, long nowNanos) {
    if (!begun) {
      begun = true;
      begunNanos = nowNanos;
    }
    Set<String> present = new HashSet<>();
    for (ServingEngine engine : directory.all()) {
      present.add(engine.id());
      if (!listed.contains(engine.id())) {
        add(engine);
      }
    }
    listed = present;
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

  /**
   * An engine's turn is over.
   *
   * @param known whether it said what it keeps
   */
  void onAnswer(boolean known) {
    asked--;
    answered += known ? 1 : 0;
    askNext();
  }

  /** How many engines have said what they keep; any thread may call. */
  int answered() {
    return answered;
  }

  private void askNext() {
    while (asked < MAX_ASKED_AT_ONCE && !waiting.isEmpty()) {
      ServingEngine engine = waiting.poll();
      asked++;
      lister.listCache(engine, parts -> events.accept(event(engine, parts)));
    }
  }

  private static DispatchEvent event(ServingEngine engine, Optional<List<PromptPart>> parts) {
    return new DispatchEvent.CacheListed(
        engine.id(), parts.map(known -> new PlacedPrompt(engine.id(), 0, known)));
  }
}
