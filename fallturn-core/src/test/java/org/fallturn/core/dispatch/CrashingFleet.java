package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.quarantine.CrashReport;
import org.fallturn.core.quarantine.QuarantineStatus;
import org.fallturn.core.quarantine.QuarantineStatusChange;
import org.fallturn.core.quarantine.QuarantineStore;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;

/**
 * Several dispatchers in front of engines that one content crashes some time into its run. An
 * engine that has crashed comes back under another id; nodes tell each other of crashes by messages
 * that are late and may be lost; a caller tries once more at another node. Time goes by steps.
 */
final class CrashingFleet {

  static final String POISON = "poison";

  private static final int STEP_MILLIS = 5;
  private static final int TICK_MILLIS = 25;
  private static final int TELL_MILLIS = 100;
  private static final int CALLERS_TRIES = 2;

  /** Where ids begin depends on the seed alone: equal costs are decided by them. */
  private static final int IDS = 10_000;

  /** Of the operators: within which every node knows what concerns all, from its start on. */
  static final long SETTLING_MILLIS = 3_000;

  private final Random random;
  private final double lossShare;
  private final List<Dispatcher> nodes = new ArrayList<>();
  private final List<ServingEngine> engines = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();
  private final List<Later> later = new ArrayList<>();
  private final Set<RequestFingerprint> stored = new HashSet<>();
  private final Map<RequestFingerprint, Set<String>> storedSuspects = new HashMap<>();
  private final List<Long> poisonSends = new ArrayList<>();
  private final List<Long> settledPoisonSends = new ArrayList<>();
  private final Map<Integer, Long> startedAt = new HashMap<>();
  private final List<Long> poisonCrashes = new ArrayList<>();
  private int engineNumber;
  private int innocents;
  private int innocentsHeldBack;
  private int innocentsAnswered;
  private int suspicions;
  private double brokenShare;
  private long millis;

  /** A request at an engine until a moment. */
  private record Run(
      int node, RequestProgress progress, Decision decision, String body, int tries, long until) {}

  /** Something that happens later. */
  private record Later(long atMillis, Runnable action) {}

  CrashingFleet(long seed, int nodeCount, int engineCount) {
    Requests.numberFrom(Math.floorMod(seed, IDS));
    random = new Random(seed);
    lossShare = random.nextInt(3) * 0.1;
    for (int engine = 0; engine < engineCount; engine++) {
      engines.add(newEngine());
    }
    for (int node = 0; node < nodeCount; node++) {
      nodes.add(newNode());
    }
  }

  private ServingEngine newEngine() {
    return Requests.engine("e-" + engineNumber++, Requests.MODEL, EngineStage.DECODE);
  }

  private Dispatcher newNode() {
    Dispatcher node = Requests.dispatcher(engines.toArray(ServingEngine[]::new));
    storedSuspects.forEach(
        (content, crashed) ->
            node.quarantine()
                .onLoadedFromStore(new QuarantineStore.StoredContent(content, 0, crashed), now()));
    stored.forEach(content -> node.quarantine().onLoadedFromStore(content, 0, now()));
    return node;
  }

  private long now() {
    return Requests.START + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  long millis() {
    return millis;
  }

  /** When the poison was sent to an engine, in ms. */
  List<Long> poisonSends() {
    return poisonSends;
  }

  /** When it was sent by a node that had been running for as long as knowing may take, in ms. */
  List<Long> settledPoisonSends() {
    return settledPoisonSends;
  }

  private boolean settled(int node) {
    return !startedAt.containsKey(node) || millis - startedAt.get(node) >= SETTLING_MILLIS;
  }

  /** When engines crashed under the poison, in ms. */
  List<Long> poisonCrashes() {
    return poisonCrashes;
  }

  int innocentsHeldBack() {
    return innocentsHeldBack;
  }

  /** How often a node came to hold something against a content. */
  int suspicions() {
    return suspicions;
  }

  /** From now on, so many of the answers break off while their engines go on. */
  void breakAnswers(double share) {
    brokenShare = share;
  }

  int innocentsAnswered() {
    return innocentsAnswered;
  }

  /** A request with a content of its own comes to some node. */
  void innocentArrives() {
    arrive(random.nextInt(nodes.size()), "innocent-" + innocents++, 1);
  }

  /** A copy of the poison comes to some node. */
  void poisonArrives() {
    arrive(random.nextInt(nodes.size()), POISON, 1);
  }

  private void arrive(int node, String body, int tries) {
    RequestProgress progress = Requests.streamOf(body, now());
    follow(node, progress, body, tries, nodes.get(node).start(progress, now()));
  }

  private void follow(
      int node, RequestProgress progress, String body, int tries, Decision decision) {
    if (decision instanceof Decision.Run run) {
      boolean poison = body.equals(POISON);
      if (poison) {
        poisonSends.add(millis);
        if (settled(node)) {
          settledPoisonSends.add(millis);
        }
      }
      long lasts = poison ? 20 + random.nextInt(100) : 30 + random.nextInt(200);
      runs.add(new Run(node, progress, run, body, tries, millis + lasts));
      return;
    }
    if (decision instanceof Decision.Refuse refuse) {
      boolean heldBack = refuse.kind() == ErrorKind.QUARANTINED;
      innocentsHeldBack += heldBack && !body.equals(POISON) ? 1 : 0;
    }
    if (tries < CALLERS_TRIES) {
      in(10, () -> arrive(random.nextInt(nodes.size()), body, tries + 1));
    }
  }

  /** Something that happens so many ms from now. */
  void in(long afterMillis, Runnable action) {
    later.add(new Later(millis + afterMillis, action));
  }

  /** Some engines end at the same moment. */
  void powerCut(int count) {
    for (int cut = 0; cut < count && engines.size() > 1; cut++) {
      crash(engines.get(random.nextInt(engines.size())));
    }
  }

  /** Some of a node's connections break, while the engines go on. */
  void resetConnections(double share) {
    int node = random.nextInt(nodes.size());
    List.copyOf(runs).stream()
        .filter(run -> run.node == node && random.nextDouble() < share)
        .forEach(this::breakOff);
  }

  /** A process ends and starts anew; what it had is lost. */
  void restart(int node) {
    runs.removeIf(run -> run.node == node);
    nodes.set(node, newNode());
    startedAt.put(node, millis);
  }

  void restartAll() {
    for (int node = 0; node < nodes.size(); node++) {
      restart(node);
    }
  }

  int nodeCount() {
    return nodes.size();
  }

  private void crash(ServingEngine engine) {
    List<Run> ended = runs.stream().filter(run -> engineOf(run).equals(engine.id())).toList();
    engines.remove(engine);
    ended.forEach(run -> in(random.nextInt(3) * STEP_MILLIS, () -> breakOff(run)));
    in(
        300 + random.nextInt(3_700),
        () -> {
          engines.add(newEngine());
          nodes.forEach(node -> node.setDirectory(EngineDirectory.of(millis, engines), now()));
        });
  }

  private static String engineOf(Run run) {
    return ((Decision.Run) run.decision).engine().id();
  }

  private void breakOff(Run run) {
    if (!runs.remove(run)) {
      return;
    }
    AttemptOutcome outcome =
        random.nextBoolean() ? AttemptOutcome.LOST : AttemptOutcome.BROKEN_MIDWAY;
    Decision next = nodes.get(run.node).onFailure(run.progress, outcome, now());
    follow(run.node, run.progress, run.body, run.tries, next);
  }

  /** Lets a step of time go by. */
  void step() {
    millis += STEP_MILLIS;
    List<Later> due = later.stream().filter(thing -> thing.atMillis <= millis).toList();
    later.removeAll(due);
    due.forEach(thing -> thing.action.run());
    List.copyOf(runs).stream().filter(run -> run.until <= millis).forEach(this::end);
    for (int node = 0; node < nodes.size(); node++) {
      let(node);
    }
  }

  private void let(int node) {
    Dispatcher dispatcher = nodes.get(node);
    if (millis % TICK_MILLIS == 0) {
      dispatcher.onTick(now());
      dispatcher.quarantine().takeUnstored(now()).forEach(content -> store(dispatcher, content));
      storedSuspects.putAll(dispatcher.quarantine().takeUnstoredSuspects());
      dispatcher.quarantine().takeReleased().forEach(this::removeFromStore);
    }
    for (String engineId : dispatcher.quarantine().takeProbes(now())) {
      in(STEP_MILLIS * (1 + random.nextInt(2)), () -> probe(dispatcher, engineId));
    }
    for (QuarantineStatusChange change : dispatcher.quarantine().takeChanges()) {
      suspicions += change.status() == QuarantineStatus.CLEAR ? 0 : 1;
      if (!change.status().sendable()) {
        takeBackCopies(node, change.content());
      }
    }
    if (dispatcher.quarantine().takeUrgentChange() || millis % TELL_MILLIS == 0) {
      tell(node);
    }
  }

  private void probe(Dispatcher dispatcher, String engineId) {
    if (engines.stream().noneMatch(engine -> engine.id().equals(engineId))) {
      dispatcher.quarantine().onEngineGone(engineId, now());
    }
  }

  /** As a gateway does; the engine drops a request whose connection closes. */
  private void takeBackCopies(int node, RequestFingerprint content) {
    for (Run run : List.copyOf(runs)) {
      if (run.node == node && run.progress.content().is(content) && runs.remove(run)) {
        Decision next = nodes.get(node).onFailure(run.progress, AttemptOutcome.WITHDRAWN, now());
        follow(node, run.progress, run.body, run.tries, next);
      }
    }
  }

  private void store(Dispatcher dispatcher, RequestFingerprint content) {
    stored.add(content);
    dispatcher.quarantine().onStored(content, now());
  }

  private void removeFromStore(RequestFingerprint content) {
    stored.remove(content);
    storedSuspects.remove(content);
  }

  private void end(Run run) {
    Optional<ServingEngine> engine =
        engines.stream().filter(one -> one.id().equals(engineOf(run))).findFirst();
    if (engine.isEmpty()) {
      breakOff(run);
    } else if (run.body.equals(POISON)) {
      poisonCrashes.add(millis);
      crash(engine.get());
    } else if (random.nextDouble() < brokenShare) {
      breakOff(run);
    } else if (runs.remove(run)) {
      innocentsAnswered++;
      Dispatcher dispatcher = nodes.get(run.node);
      dispatcher.onSignOfLife(run.progress, now());
      dispatcher.onBegan(run.progress, now());
      dispatcher.onFinished(run.progress, now());
    }
  }

  private void tell(int node) {
    Dispatcher dispatcher = nodes.get(node);
    List<CrashReport> reports = dispatcher.quarantine().takeReports(false, now());
    LoadDigest load =
        new LoadDigest(
            "n-" + node,
            1,
            millis,
            dispatcher.fleet().ownLoads(now()),
            List.of(),
            dispatcher.fleet().ownSpeeds());
    for (int other = 0; other < nodes.size(); other++) {
      if (other != node && random.nextDouble() >= lossShare) {
        int target = other;
        in(STEP_MILLIS * (1 + random.nextInt(8)), () -> receive(target, load, reports));
      }
    }
  }

  private void receive(int node, LoadDigest load, List<CrashReport> reports) {
    Requests.receive(nodes.get(node), load, now());
    reports.forEach(report -> nodes.get(node).quarantine().onPeerReport(report, now()));
  }
}
