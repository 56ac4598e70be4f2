package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;

/**
 * Several dispatchers in front of engines that read prompts at a pace, one after the other: the
 * most urgent and earliest is taken next, and one that is being read is not set aside. An engine
 * says something only when it has read a prompt. Time goes by steps.
 */
final class PrefillFleet {

  private static final int STEP_MILLIS = 5;

  /** As often as a gateway looks at its requests. */
  private static final int TICK_MILLIS = 25;

  /** As often as nodes tell each other what they have at the engines. */
  private static final int TELL_MILLIS = 100;

  /** A decode engine reads at half the pace. */
  private static final double DECODE_SHARE = 0.5;

  private final List<Dispatcher> nodes = new ArrayList<>();
  private final Map<String, ReadingEngine> engines = new LinkedHashMap<>();
  private final List<Map<RequestProgress, Decision>> active = new ArrayList<>();
  private final Map<StuckReason, Integer> stuck = new HashMap<>();
  private final List<String> suspended = new ArrayList<>();
  private final List<Decision.Refuse> refusals = new ArrayList<>();
  private final List<Double> beginMillis = new ArrayList<>();
  private int answered;
  private int tellMillis = TELL_MILLIS;
  private int sequence;
  private long millis;

  PrefillFleet(int nodeCount, double tokensPerMilli, ServingEngine... served) {
    this(nodeCount, tokensPerMilli, true, served);
  }

  PrefillFleet(int nodeCount, double tokensPerMilli, boolean learnsPace, ServingEngine... served) {
    for (ServingEngine engine : served) {
      engines.put(engine.id(), new ReadingEngine(engine, tokensPerMilli));
    }
    for (int node = 0; node < nodeCount; node++) {
      nodes.add(Requests.dispatcher(1_000, learnsPace, served));
      active.add(new LinkedHashMap<>());
    }
  }

  long now() {
    return Requests.START + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Attempts that were given up, by reason. */
  Map<StuckReason, Integer> stuck() {
    return stuck;
  }

  /** Engines as they were suspended, by any node. */
  List<String> suspended() {
    return suspended;
  }

  List<Decision.Refuse> refusals() {
    return refusals;
  }

  /** How long requests took to begin to be answered. */
  List<Double> beginMillis() {
    return beginMillis;
  }

  /** Nodes tell each other at once what they place. */
  void tellAtOnce() {
    tellMillis = STEP_MILLIS;
  }

  /** Work takes so many times as long at an engine from now on. */
  void slow(String engineId, double factor) {
    engines.get(engineId).slowness = factor;
  }

  /** What a node believes of an engine's pace. */
  double slowness(int node, String engineId) {
    return nodes.get(node).slowness(engineId, now());
  }

  /** Requests whose answer has begun. */
  int answered() {
    return answered;
  }

  /** Requests that have waited at an engine for longer than a time. */
  long waitingAt(String engineId, int longerThanMillis) {
    long before = now() - TimeUnit.MILLISECONDS.toNanos(longerThanMillis);
    return active.stream()
        .flatMap(requests -> requests.keySet().stream())
        .filter(request -> request.engine().filter(e -> e.id().equals(engineId)).isPresent())
        .filter(request -> request.sentNanos() - before < 0)
        .count();
  }

  /** The engine answers nobody from now on. */
  void goDark(String engineId) {
    engines.get(engineId).dark = true;
  }

  /** The engine answers again; what it had is lost. */
  void comeBack(String engineId) {
    engines.get(engineId).dark = false;
    engines.get(engineId).queue.clear();
  }

  /** How many nodes warn the others of an engine. */
  long warningsOf(String engineId) {
    return nodes.stream()
        .map(node -> node.fleet().ownLoads(now()).get(engineId))
        .filter(digest -> digest != null && digest.suspecting() > 0)
        .count();
  }

  /** How many prompts were sent to an engine so far. */
  int sentTo(String engineId) {
    return engines.get(engineId).sent;
  }

  /** A request comes to a node. */
  void arrive(int node, RequestProgress progress) {
    follow(node, progress, nodes.get(node).start(progress, now()));
  }

  private void follow(int node, RequestProgress progress, Decision decision) {
    if (decision instanceof Decision.Prefill prefill) {
      send(node, progress, prefill.engine(), prefill.estimate(), prefill.urgency(), decision);
    } else if (decision instanceof Decision.Run run) {
      send(node, progress, run.engine(), run.estimate(), run.urgency(), decision);
    } else {
      active.get(node).remove(progress);
      if (decision instanceof Decision.Refuse refuse) {
        refusals.add(refuse);
      }
    }
  }

  private void send(
      int node,
      RequestProgress progress,
      ServingEngine engine,
      PlacementEstimate estimate,
      int urgency,
      Decision decision) {
    active.get(node).put(progress, decision);
    engines
        .get(engine.id())
        .add(new Job(node, progress, decision, urgency, sequence++, estimate.readTokens()));
  }

  /** Lets a step of time go by. */
  void step() {
    millis += STEP_MILLIS;
    engines.values().forEach(this::work);
    if (millis % TICK_MILLIS == 0) {
      for (int node = 0; node < nodes.size(); node++) {
        tick(node);
      }
    }
    if (millis % tellMillis == 0) {
      tell();
    }
  }

  private void work(ReadingEngine engine) {
    double left = engine.dark ? 0 : engine.tokensPerMilli / engine.slowness * STEP_MILLIS;
    while (left > 0 && !engine.queue.isEmpty()) {
      Job job = engine.next();
      if (!current(job)) {
        engine.queue.remove(job);
        continue;
      }
      double read = Math.min(left, job.tokens);
      job.tokens -= read;
      left -= read;
      if (job.tokens <= 0) {
        engine.queue.remove(job);
        onRead(job);
      }
    }
  }

  private boolean current(Job job) {
    return active.get(job.node).get(job.progress) == job.decision;
  }

  private void onRead(Job job) {
    Dispatcher dispatcher = nodes.get(job.node);
    if (job.decision instanceof Decision.Prefill) {
      follow(job.node, job.progress, dispatcher.onPrefilled(job.progress, "h", now()));
      return;
    }
    answered++;
    beginMillis.add((now() - job.progress.envelope().arrivedNanos()) / 1e6);
    dispatcher.onBegan(job.progress, now());
    dispatcher.onSignOfLife(job.progress, now());
    dispatcher.onFinished(job.progress, now());
    active.get(job.node).remove(job.progress);
  }

  private void tick(int node) {
    Dispatcher dispatcher = nodes.get(node);
    for (RequestProgress progress : List.copyOf(active.get(node).keySet())) {
      if (progress.envelope().remainingNanos(now()) <= 0) {
        active.get(node).remove(progress);
        dispatcher.onAbandoned(progress, now());
      } else {
        giveUpWhenStuck(node, progress);
      }
    }
    dispatcher.onTick(now());
    dispatcher.takeHealthChanges(now()).stream()
        .filter(HealthChange::suspended)
        .forEach(change -> suspended.add(change.engineId()));
  }

  private void giveUpWhenStuck(int node, RequestProgress progress) {
    AttemptTimeout timeout = timeout(active.get(node).get(progress));
    Optional<StuckReason> reason = nodes.get(node).stuck(progress, timeout.duration(), now());
    if (reason.isPresent()) {
      stuck.merge(reason.get(), 1, Integer::sum);
      Decision next = nodes.get(node).onFailure(progress, reason.get().outcome(timeout), now());
      follow(node, progress, next);
    }
  }

  private static AttemptTimeout timeout(Decision decision) {
    return decision instanceof Decision.Prefill prefill
        ? prefill.timeout()
        : ((Decision.Run) decision).timeout();
  }

  private void tell() {
    List<LoadDigest> digests = new ArrayList<>();
    for (int node = 0; node < nodes.size(); node++) {
      Dispatcher dispatcher = nodes.get(node);
      digests.add(
          new LoadDigest(
              "n-" + node,
              1,
              millis,
              dispatcher.fleet().ownLoads(now()),
              dispatcher.fleet().takeNewPrompts(),
              dispatcher.fleet().ownSpeeds()));
    }
    for (int node = 0; node < nodes.size(); node++) {
      for (int other = 0; other < nodes.size(); other++) {
        if (other != node) {
          Requests.receive(nodes.get(node), digests.get(other), now());
        }
      }
    }
  }

  /** One engine and the prompts that wait there. */
  private static final class ReadingEngine {

    private final double tokensPerMilli;
    private final PriorityQueue<Job> queue =
        new PriorityQueue<>(
            Comparator.comparingInt((Job job) -> job.urgency)
                .thenComparingInt(job -> job.sequence));
    private boolean dark;
    private double slowness = 1;
    private int sent;
    private Job reading;

    ReadingEngine(ServingEngine engine, double tokensPerMilli) {
      boolean decodes = engine.stage() == EngineStage.DECODE;
      this.tokensPerMilli = decodes ? DECODE_SHARE * tokensPerMilli : tokensPerMilli;
    }

    private void add(Job job) {
      sent++;
      queue.add(job);
    }

    /** What is being read, else what is to be read next. */
    private Job next() {
      reading = queue.contains(reading) ? reading : queue.peek();
      return reading;
    }
  }

  /** One prompt at one engine. */
  private static final class Job {

    private final int node;
    private final RequestProgress progress;
    private final Decision decision;
    private final int urgency;
    private final int sequence;
    private double tokens;

    Job(
        int node,
        RequestProgress progress,
        Decision decision,
        int urgency,
        int sequence,
        double tokens) {
      this.node = node;
      this.progress = progress;
      this.decision = decision;
      this.urgency = urgency;
      this.sequence = sequence;
      this.tokens = tokens;
    }
  }
}
