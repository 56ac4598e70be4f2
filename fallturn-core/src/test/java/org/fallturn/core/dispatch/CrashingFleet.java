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
import org.fallturn.core.quarantine.SharedPart;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;

/**
 * Simulates several dispatchers in front of engines, each of which crashes a while after it begins
 * to run one certain content (the poison), or any request whose prompt has one certain part. A
 * crashed engine comes back under another id. Nodes report crashes to each other in messages that
 * are delayed and may be lost. A caller whose request fails tries once more at a random node. Time
 * advances in steps.
 */
final class CrashingFleet {

  static final String POISON = "poison";
  private static final String POISON_PART = "poison-part";

  /** Parts with which prompts begin. All requests share few of them. */
  private static final int FIRST_PARTS = 2;

  /** Parts in the midst of prompts, each of which is in a few requests a second. */
  private static final int SECOND_PARTS = 40;

  private static final RequestFingerprint POISON_CONTENT =
      Requests.streamOf(POISON, 0).content().fingerprint();

  private static final int STEP_MILLIS = 5;
  private static final int TICK_MILLIS = 25;
  private static final int REPORT_MILLIS = 100;
  private static final int MAX_TRIES = 2;

  /**
   * Number of possible first request ids. The first id depends on the seed alone, since ids decide
   * between engines of equal cost.
   */
  private static final int FIRST_IDS = 10_000;

  /**
   * Bound set by the operators: within this time, every node knows what concerns all nodes. For a
   * node that started later, the time counts from its start.
   */
  static final long SETTLING_MILLIS = 3_000;

  private final Random random;
  private final double lossShare;
  private final List<Dispatcher> nodes = new ArrayList<>();
  private final List<ServingEngine> engines = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();
  private final List<ScheduledAction> scheduled = new ArrayList<>();
  private final Set<RequestFingerprint> stored = new HashSet<>();
  private final Map<RequestFingerprint, Set<String>> storedSuspects = new HashMap<>();
  private final List<Long> poisonSends = new ArrayList<>();
  private final List<Long> settledPoisonSends = new ArrayList<>();
  private final Map<Integer, Long> startedAt = new HashMap<>();
  private final List<Long> poisonCrashes = new ArrayList<>();
  private int engineNumber;
  private final Random parts;
  private int poisonRequests;
  private int innocents;
  private int lateInnocents;
  private int lateInnocentsHeldBack;
  private int innocentsHeldBack;
  private int innocentsAnswered;
  private int suspicions;
  private double brokenShare;
  private boolean refusesConnections;
  private long millis;

  /** A request that runs at an engine until a given time. */
  private record Run(
      int node, RequestProgress progress, Decision decision, String body, int tries, long until) {}

  /** An action that is scheduled for a later time. */
  private record ScheduledAction(long atMillis, Runnable action) {}

  CrashingFleet(long seed, int nodeCount, int engineCount) {
    Requests.numberFrom(Math.floorMod(seed, FIRST_IDS));
    random = new Random(seed);
    parts = new Random(seed + 1);
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

  /** Returns the times in ms at which the poison was sent to an engine. */
  List<Long> poisonSends() {
    return poisonSends;
  }

  /**
   * Returns the times in ms at which the poison was sent by a node that had not restarted within
   * the settling time before.
   */
  List<Long> settledPoisonSends() {
    return settledPoisonSends;
  }

  private boolean settled(int node) {
    return !startedAt.containsKey(node) || millis - startedAt.get(node) >= SETTLING_MILLIS;
  }

  /** Returns the times in ms at which engines crashed under the poison. */
  List<Long> poisonCrashes() {
    return poisonCrashes;
  }

  int innocentsHeldBack() {
    return innocentsHeldBack;
  }

  /** Returns how often a node began to suspect a content. */
  int suspicions() {
    return suspicions;
  }

  /** Lets a share of the answers break off from now on, while their engines go on. */
  void breakAnswers(double share) {
    brokenShare = share;
  }

  /** From now on nothing is sent to an engine that has ended: its address refuses connections. */
  void refuseConnections() {
    refusesConnections = true;
  }

  int innocentsAnswered() {
    return innocentsAnswered;
  }

  /** A request with a unique content arrives at a random node. */
  void innocentArrives() {
    arrive(random.nextInt(nodes.size()), "innocent-" + innocents++, 1);
  }

  /** A copy of the poison arrives at a random node. */
  void poisonArrives() {
    arrive(random.nextInt(nodes.size()), POISON, 1);
  }

  /** A request like no other arrives, whose prompt shares its parts with others. */
  void innocentWithPartsArrives() {
    arrive(random.nextInt(nodes.size()), "innocent-" + innocents++, List.of(first(), second()), 1);
  }

  /** A request like no other arrives, whose prompt has the part that crashes engines. */
  void poisonPartArrives() {
    List<String> shared = List.of(first(), POISON_PART, second());
    arrive(random.nextInt(nodes.size()), "poisoned-" + poisonRequests++, shared, 1);
  }

  private String first() {
    return "first-" + parts.nextInt(FIRST_PARTS);
  }

  private String second() {
    return "second-" + parts.nextInt(SECOND_PARTS);
  }

  private void arrive(int node, String body, int tries) {
    arrive(node, body, List.of(), tries);
  }

  private void arrive(int node, String body, List<String> sharedParts, int tries) {
    RequestProgress progress = Requests.streamOf(body, sharedParts, now());
    Decision decision = nodes.get(node).start(progress, now());
    countLate(progress, tries, decision);
    apply(node, progress, body, tries, decision);
  }

  /** Counts the first tries of innocents for which every node has had time to know the poison. */
  private void countLate(RequestProgress progress, int tries, Decision decision) {
    boolean late =
        !poisonCrashes.isEmpty()
            && millis > poisonCrashes.get(poisonCrashes.size() - 1) + 2 * SETTLING_MILLIS;
    if (late && tries == 1 && !isPoison(progress)) {
      lateInnocents++;
      lateInnocentsHeldBack += isHeldBack(decision) ? 1 : 0;
    }
  }

  private static boolean isHeldBack(Decision decision) {
    return decision instanceof Decision.Refuse refuse && refuse.kind() == ErrorKind.QUARANTINED;
  }

  private static boolean isPoison(RequestProgress progress) {
    return progress.content().has(POISON_CONTENT)
        || progress.content().sharedParts().stream()
            .anyMatch(part -> part.id().equals(POISON_PART));
  }

  /** Number of innocents that came first when every node had had time to know the poison. */
  int lateInnocents() {
    return lateInnocents;
  }

  int lateInnocentsHeldBack() {
    return lateInnocentsHeldBack;
  }

  private void apply(
      int node, RequestProgress progress, String body, int tries, Decision decision) {
    if (decision instanceof Decision.Run run && refusesConnections && hasEnded(run.engine())) {
      Decision next = nodes.get(node).onFailure(progress, AttemptOutcome.NOT_SENT, now());
      apply(node, progress, body, tries, next);
      return;
    }
    if (decision instanceof Decision.Run run) {
      boolean poison = isPoison(progress);
      if (poison) {
        poisonSends.add(millis);
        if (settled(node)) {
          settledPoisonSends.add(millis);
        }
      }
      long runMillis = poison ? 20 + random.nextInt(100) : 30 + random.nextInt(200);
      runs.add(new Run(node, progress, run, body, tries, millis + runMillis));
      return;
    }
    innocentsHeldBack += isHeldBack(decision) && !isPoison(progress) ? 1 : 0;
    if (tries < MAX_TRIES) {
      List<String> shared = progress.content().sharedParts().stream().map(SharedPart::id).toList();
      schedule(10, () -> arrive(random.nextInt(nodes.size()), body, shared, tries + 1));
    }
  }

  private boolean hasEnded(ServingEngine engine) {
    return engines.stream().noneMatch(one -> one.id().equals(engine.id()));
  }

  /**
   * Schedules an action.
   *
   * @param afterMillis time in ms from now
   */
  void schedule(long afterMillis, Runnable action) {
    scheduled.add(new ScheduledAction(millis + afterMillis, action));
  }

  /** Ends some engines at the same moment. */
  void powerCut(int count) {
    for (int cut = 0; cut < count && engines.size() > 1; cut++) {
      crash(engines.get(random.nextInt(engines.size())));
    }
  }

  /** Breaks a share of one node's connections, while the engines go on. */
  void resetConnections(double share) {
    int node = random.nextInt(nodes.size());
    List.copyOf(runs).stream()
        .filter(run -> run.node == node && random.nextDouble() < share)
        .forEach(this::breakOff);
  }

  /** Restarts a node, which loses all that it knew. */
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
    ended.forEach(run -> schedule(random.nextInt(3) * STEP_MILLIS, () -> breakOff(run)));
    schedule(
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
    apply(run.node, run.progress, run.body, run.tries, next);
  }

  /**
   * Ends some engines, resets connections or restarts a node, in three of so many calls.
   *
   * @param mostCut the most engines that end at the same moment
   */
  void injectFault(Random faults, int calls, int mostCut) {
    switch (faults.nextInt(calls)) {
      case 0 -> powerCut(1 + faults.nextInt(mostCut));
      case 1 -> resetConnections(0.5);
      case 2 -> restart(faults.nextInt(nodeCount()));
      default -> {
        // no fault this time
      }
    }
  }

  void stepFor(long forMillis) {
    long until = millis + forMillis;
    while (millis < until) {
      step();
    }
  }

  /** Advances the time by one step. */
  void step() {
    millis += STEP_MILLIS;
    List<ScheduledAction> due =
        scheduled.stream().filter(entry -> entry.atMillis <= millis).toList();
    scheduled.removeAll(due);
    due.forEach(entry -> entry.action.run());
    List.copyOf(runs).stream().filter(run -> run.until <= millis).forEach(this::end);
    for (int node = 0; node < nodes.size(); node++) {
      runNode(node);
    }
  }

  private void runNode(int node) {
    Dispatcher dispatcher = nodes.get(node);
    if (millis % TICK_MILLIS == 0) {
      dispatcher.onTick(now());
      dispatcher.quarantine().takeUnstored(now()).forEach(content -> store(dispatcher, content));
      storedSuspects.putAll(dispatcher.quarantine().takeUnstoredSuspects());
      dispatcher.quarantine().takeReleased().forEach(this::removeFromStore);
    }
    for (String engineId : dispatcher.quarantine().takeProbes(now())) {
      schedule(STEP_MILLIS * (1 + random.nextInt(2)), () -> probe(dispatcher, engineId));
    }
    for (QuarantineStatusChange change : dispatcher.quarantine().takeChanges()) {
      suspicions += change.status() == QuarantineStatus.CLEAR ? 0 : 1;
      if (!change.status().sendable()) {
        takeBackCopies(node, change.content());
      }
    }
    if (dispatcher.quarantine().takeUrgentChange() || millis % REPORT_MILLIS == 0) {
      report(node);
    }
  }

  private void probe(Dispatcher dispatcher, String engineId) {
    if (engines.stream().noneMatch(engine -> engine.id().equals(engineId))) {
      dispatcher.quarantine().onEngineGone(engineId, now());
    }
  }

  /**
   * Withdraws the node's copies of a content in quarantine, as a gateway does. The engine drops a
   * request whose connection closes.
   */
  private void takeBackCopies(int node, RequestFingerprint content) {
    for (Run run : List.copyOf(runs)) {
      if (run.node == node && run.progress.content().has(content) && runs.remove(run)) {
        Decision next = nodes.get(node).onFailure(run.progress, AttemptOutcome.WITHDRAWN, now());
        apply(node, run.progress, run.body, run.tries, next);
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
    } else if (isPoison(run.progress)) {
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

  private void report(int node) {
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
        schedule(STEP_MILLIS * (1 + random.nextInt(8)), () -> receive(target, load, reports));
      }
    }
  }

  private void receive(int node, LoadDigest load, List<CrashReport> reports) {
    Requests.receive(nodes.get(node), load, now());
    reports.forEach(report -> nodes.get(node).quarantine().onPeerReport(report, now()));
  }
}
