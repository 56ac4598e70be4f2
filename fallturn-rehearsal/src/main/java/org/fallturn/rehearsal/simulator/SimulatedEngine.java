package org.fallturn.rehearsal.simulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.Function;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.EngineState.Activity;
import org.fallturn.core.port.engine.LoadReport;
import org.fallturn.core.port.engine.OrderNumber;
import org.fallturn.rehearsal.engine.EngineCostModel;
import org.fallturn.rehearsal.engine.StepWork;

/**
 * One engine that batches continuously. Each step computes waiting prompt tokens up to the budget
 * and one token of every running answer. While no prompt waits, several steps run as one event; a
 * newcomer ends it at the end of the step under way. Not thread-safe.
 */
final class SimulatedEngine {
  private static final int MAX_STEPS_PER_EVENT = 32;
  private static final Comparator<SimulatedRequest> MOST_URGENT_FIRST =
      Comparator.comparing((SimulatedRequest request) -> request.timed.traffic().urgency())
          .reversed()
          .thenComparingLong(request -> request.engineSequence);
  private static final Comparator<SimulatedRequest> FIRST_TO_FINISH =
      Comparator.comparingLong((SimulatedRequest request) -> request.finishStep)
          .thenComparingLong(request -> request.engineSequence);

  private static final OrderNumber FENCE = new OrderNumber(new Epoch(1), 0);

  final EngineId id;
  EngineRole role;
  Activity activity = Activity.SERVING;
  boolean reachable = true;
  long incarnation = 1;

  private final EventQueue events;
  private final EngineCostModel costs;
  private final EngineListener listener;
  private final Function<SimulatedRequest, SharedPrefix> prefixes;
  private final PrefixCache cache;
  private final PriorityQueue<SimulatedRequest> prompts = new PriorityQueue<>(MOST_URGENT_FIRST);
  private final PriorityQueue<SimulatedRequest> ready = new PriorityQueue<>(MOST_URGENT_FIRST);
  private final TreeSet<SimulatedRequest> running = new TreeSet<>(FIRST_TO_FINISH);
  private long generatedTokens;
  private long prefilledTokens;
  private long sequence;
  private long contextTokens;
  private long step;
  private boolean busy;
  private long eventVersion;
  private long eventStartNanos;
  private long eventStepNanos;
  private long eventSteps;
  private int eventPromptTokens;

  SimulatedEngine(Description description, SimulationContext context, EngineListener listener) {
    id = description.engine();
    role = description.role();
    events = context.events();
    costs = context.costs();
    prefixes = context::prefix;
    this.listener = listener;
    cache = new PrefixCache(context.settings().cachedPrefixes());
  }

  /**
   * An engine at the start of a run.
   *
   * @param engine its name
   * @param zone its zone
   * @param role its first role
   */
  record Description(EngineId engine, ZoneName zone, EngineRole role) {}

  boolean serves() {
    return reachable && activity == Activity.SERVING;
  }

  EngineState state(ModelName model) {
    int requests = running.size() + prompts.size() + ready.size();
    return new EngineState(
        id, incarnation, FENCE, role, model, "", Map.of(), activity, false, requests);
  }

  LoadReport loadReport(long ageMillis) {
    long waitingPromptTokens = prompts.stream().mapToLong(request -> request.promptLeft).sum();
    return new LoadReport(
        id,
        incarnation,
        ageMillis,
        running.size(),
        prompts.size() + ready.size(),
        waitingPromptTokens,
        contextTokens,
        generatedTokens,
        prefilledTokens);
  }

  /** Takes a prompt to compute; a decode engine goes on to generate. */
  void prefill(SimulatedRequest request) {
    int cached = cache.cachedTokens(prefixes.apply(request));
    request.promptLeft = Math.max(1, request.contextTokens() - cached);
    request.engineSequence = sequence++;
    prompts.add(request);
    wake();
  }

  /** Takes a request whose KV cache is imported. */
  void generate(SimulatedRequest request) {
    request.engineSequence = sequence++;
    ready.add(request);
    wake();
  }

  /** Stops working on a request, if it does. */
  void cancel(SimulatedRequest request) {
    boolean wasRunning = running.remove(request);
    if (wasRunning) {
      contextTokens -= contextOf(request);
    } else if (!ready.remove(request)) {
      prompts.remove(request);
    }
  }

  /** Loses everything; answers the requests it had. */
  List<SimulatedRequest> crash() {
    running.forEach(request -> request.generatedTokens += generatedHere(request));
    List<SimulatedRequest> lost = new ArrayList<>(running);
    lost.addAll(ready);
    lost.addAll(prompts);
    running.clear();
    ready.clear();
    prompts.clear();
    forgetCache();
    contextTokens = 0;
    busy = false;
    eventVersion++;
    incarnation++;
    return lost;
  }

  /** Forgets the prefix cache. */
  void forgetCache() {
    cache.clear().forEach(prefix -> listener.onCacheChange(this, prefix, false));
  }

  private int generatedHere(SimulatedRequest request) {
    return (int) (step - request.startStep);
  }

  private void wake() {
    if (!busy) {
      begin();
    } else if (eventSteps > 1) {
      endEventWithPresentStep();
    }
  }

  private void endEventWithPresentStep() {
    long done = (events.nowNanos() - eventStartNanos) / eventStepNanos + 1;
    if (done < eventSteps) {
      eventSteps = done;
      scheduleEnd();
    }
  }

  private void begin() {
    admitReady();
    if (running.isEmpty() && prompts.isEmpty()) {
      busy = false;
      return;
    }
    busy = true;
    eventStartNanos = events.nowNanos();
    int budget = costs.costs().tokenBudgetPerStep() - running.size();
    eventPromptTokens = (int) Math.min(budget, promptTokensUpTo(budget));
    eventSteps = eventPromptTokens > 0 ? 1 : stepsUntilFinish();
    long meanContext = contextTokens + running.size() * eventSteps / 2;
    eventStepNanos = costs.stepNanos(new StepWork(eventPromptTokens, running.size(), meanContext));
    scheduleEnd();
  }

  private void admitReady() {
    while (!ready.isEmpty() && running.size() < costs.costs().maxRunning()) {
      SimulatedRequest request = ready.poll();
      int generated = request.hasFirstToken ? 1 : 0;
      request.hasFirstToken = false;
      request.startStep = step - generated;
      request.finishStep = request.startStep + Math.max(1, request.outputLeft());
      running.add(request);
      contextTokens += contextOf(request);
    }
  }

  private long promptTokensUpTo(int budget) {
    long tokens = 0;
    Iterator<SimulatedRequest> iterator = prompts.iterator();
    while (iterator.hasNext() && tokens < budget) {
      tokens += iterator.next().promptLeft;
    }
    return tokens;
  }

  private long stepsUntilFinish() {
    return Math.min(MAX_STEPS_PER_EVENT, Math.max(1, running.first().finishStep - step));
  }

  private void scheduleEnd() {
    long version = ++eventVersion;
    long end = eventStartNanos + eventSteps * eventStepNanos;
    events.at(
        end,
        () -> {
          if (version == eventVersion) {
            endEvent();
          }
        });
  }

  private void endEvent() {
    step += eventSteps;
    contextTokens += eventSteps * running.size();
    generatedTokens += eventSteps * running.size();
    List<SimulatedRequest> prefilled = computePrompts();
    List<SimulatedRequest> completed = takeFinished();
    begin();
    prefilled.forEach(request -> listener.onPrefilled(this, request));
    completed.forEach(request -> listener.onCompleted(this, request));
  }

  private List<SimulatedRequest> computePrompts() {
    List<SimulatedRequest> prefilled = new ArrayList<>();
    int left = eventPromptTokens;
    prefilledTokens += eventPromptTokens;
    while (left > 0 && !prompts.isEmpty()) {
      SimulatedRequest first = prompts.peek();
      int computed = Math.min(left, first.promptLeft);
      first.promptLeft -= computed;
      left -= computed;
      if (first.promptLeft == 0) {
        prompts.poll();
        storePrefix(first);
        finishPrompt(first, prefilled);
      }
    }
    return prefilled;
  }

  private void finishPrompt(SimulatedRequest request, List<SimulatedRequest> prefilled) {
    if (request.decode == this) {
      request.hasFirstToken = true;
      ready.add(request);
    } else {
      prefilled.add(request);
    }
  }

  private void storePrefix(SimulatedRequest request) {
    SharedPrefix prefix = prefixes.apply(request);
    if (cache.store(prefix)) {
      listener.onCacheChange(this, prefix, true);
      cache.evict().ifPresent(evicted -> listener.onCacheChange(this, evicted, false));
    }
  }

  private List<SimulatedRequest> takeFinished() {
    List<SimulatedRequest> completed = new ArrayList<>();
    while (!running.isEmpty() && running.first().finishStep <= step) {
      SimulatedRequest request = running.pollFirst();
      contextTokens -= contextOf(request);
      completed.add(request);
    }
    return completed;
  }

  private long contextOf(SimulatedRequest request) {
    return request.contextTokens() + generatedHere(request);
  }
}
