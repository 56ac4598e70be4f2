package org.fallturn.rehearsal.signals;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.fallturn.rehearsal.emulator.EmulatedClient;
import org.fallturn.rehearsal.emulator.EmulatedPlatform;
import org.fallturn.rehearsal.fleet.ManagedProcess;
import org.fallturn.rehearsal.signals.SignalsLoad.Sent;

/** One round: requests of both kinds, while processes are killed and suspended. */
final class SignalsRun {

  private static final int GATEWAYS = 3;
  private static final Duration START = Duration.ofSeconds(60);
  private static final int MIN_PAUSE_MILLIS = 250;
  private static final int PAUSE_RANGE_MILLIS = 700;
  private static final int MIN_FAULT_MILLIS = 100;
  private static final int FAULT_RANGE_MILLIS = 1_900;
  private static final String LINKS = "links";
  private static final String KILL = "kill";
  private static final String STOP = "stop";
  private static final String MEMORY = "memory";

  /** A sliced process runs for a quarter of each slice, as on a quarter of a core. */
  private static final int SLICE_MILLIS = 100;

  private static final int PAUSED_MILLIS = 75;
  private static final int SLICES = 30;
  private static final int MEMORY_MILLIS = 1_500;
  private static final int STOP_EXIT_SECONDS = 5;

  /** The second one is that of a process that was stopped before it served anybody. */
  private static final Set<Integer> GOOD_EXITS = Set.of(0, 143);

  /** A connection of a killed process may seem to end before the kill has returned. */
  private static final long KILL_NOTICE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final int LINK_MILLIS = 4_000;

  /** A process that is disturbed counts as in touch again so long after. */
  private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final long seed;
  private final Random random;
  private final Duration length;
  private final Path directory;
  private final PrintStream out;
  private List<Sent> sent = List.of();
  private final List<Disturbance> disturbances = new ArrayList<>();
  private final List<String> wrongEnds = new ArrayList<>();
  private final List<Repair> repairs = new ArrayList<>();
  private int memoryEnds;

  private record Disturbance(String what, long begunNanos, long endedNanos) {}

  private record Repair(String target, long dueNanos, Step step) {}

  /** Something that is done to a process. */
  @FunctionalInterface
  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  private enum Fault {
    KILL_ENGINE,
    SUSPEND_ENGINE,
    KILL_GATEWAY,
    SUSPEND_GATEWAY,
    SILENT_LINKS,
    CUT_LINKS,
    STOP_GATEWAY,
    SLICE_GATEWAY,
    FILL_MEMORY
  }

  SignalsRun(long seed, Duration length, Path directory, PrintStream out) {
    this.seed = seed;
    this.random = new Random(seed);
    this.length = length;
    this.directory = directory;
    this.out = out;
  }

  /** Plays the round; whether no request broke a promise. */
  boolean play() throws Exception {
    try (SignalsFleet fleet = new SignalsFleet(directory, GATEWAYS);
        EmulatedClient client = new EmulatedClient()) {
      awaitServing(fleet, client);
      SignalsLoad load = new SignalsLoad(fleet, client, seed);
      Thread sending = new Thread(() -> load.send(length), "load");
      sending.start();
      disturbUntilEnd(fleet);
      sending.join();
      sent = load.awaitAll();
      return report(fleet.endEngines());
    }
  }

  private static void awaitServing(SignalsFleet fleet, EmulatedClient client) throws Exception {
    long until = System.nanoTime() + START.toNanos();
    for (int gateway = 0; gateway < fleet.gatewayCount(); gateway++) {
      while (client.call(fleet.callers(gateway), EmulatedPlatform.IDEMPOTENT, 0).status() != 200) {
        if (System.nanoTime() - until > 0) {
          throw new IllegalStateException("a gateway does not serve");
        }
      }
    }
  }

  private void disturbUntilEnd(SignalsFleet fleet) throws Exception {
    long until = System.nanoTime() + length.toNanos();
    while (System.nanoTime() - until < 0) {
      disturb(fleet, Fault.values()[random.nextInt(Fault.values().length)]);
      long next =
          System.nanoTime()
              + TimeUnit.MILLISECONDS.toNanos(
                  MIN_PAUSE_MILLIS + random.nextInt(PAUSE_RANGE_MILLIS));
      while (System.nanoTime() - next < 0) {
        repair(false);
        TimeUnit.MILLISECONDS.sleep(1);
      }
    }
    repair(true);
  }

  private void repair(boolean all) throws IOException, InterruptedException {
    for (Repair repair : List.copyOf(repairs)) {
      if (all || System.nanoTime() - repair.dueNanos() >= 0) {
        repairs.remove(repair);
        repair.step().run();
      }
    }
  }

  private void disturb(SignalsFleet fleet, Fault fault) throws Exception {
    int gateway = random.nextInt(fleet.gatewayCount());
    int engine = random.nextInt(fleet.engines().size());
    long millis = MIN_FAULT_MILLIS + random.nextInt(FAULT_RANGE_MILLIS);
    String engineId = fleet.engines().get(engine).id();
    switch (fault) {
      case KILL_ENGINE -> {
        if (free(engineId)) {
          begin(engineId, KILL, 0);
          SignalsFleet.Engine old = fleet.replaceEngine(engine);
          later("row of " + engineId, millis, () -> fleet.unlist(old));
        }
      }
      case SUSPEND_ENGINE -> suspend(engineId, fleet.engines().get(engine).process(), millis);
      case KILL_GATEWAY -> {
        if (free(SignalsFleet.gatewayName(gateway))) {
          begin(SignalsFleet.gatewayName(gateway), KILL, 0);
          fleet.gateway(gateway).kill();
          fleet.startGateway(gateway);
        }
      }
      case SUSPEND_GATEWAY ->
          suspend(SignalsFleet.gatewayName(gateway), fleet.gateway(gateway), millis);
      case STOP_GATEWAY -> stop(fleet, gateway);
      case SLICE_GATEWAY -> slice(SignalsFleet.gatewayName(gateway), fleet.gateway(gateway));
      case FILL_MEMORY -> fillMemory(fleet);
      case SILENT_LINKS -> setLinks(fleet, "SILENT");
      case CUT_LINKS -> setLinks(fleet, "CUT");
      default -> throw new IllegalStateException(fault.name());
    }
  }

  /** A planned stop, after which the gateway is started again. */
  private void stop(SignalsFleet fleet, int index) {
    String name = SignalsFleet.gatewayName(index);
    if (free(name)) {
      begin(name, STOP, SignalsFleet.GRACE.toMillis());
      ManagedProcess stopping = fleet.gateway(index);
      stopping.terminate();
      later(name, SignalsFleet.GRACE.toMillis(), () -> restart(fleet, index, stopping));
    }
  }

  private void restart(SignalsFleet fleet, int index, ManagedProcess stopping)
      throws IOException, InterruptedException {
    OptionalInt exit = stopping.awaitExit(STOP_EXIT_SECONDS);
    boolean lacksMemory = exit.isPresent() && wasHungry(stopping.name());
    if (!lacksMemory && (exit.isEmpty() || !GOOD_EXITS.contains(exit.getAsInt()))) {
      wrongEnds.add(stopping.name() + " ended a planned stop with exit status " + exit);
      stopping.kill();
    }
    fleet.startGateway(index);
  }

  /** Whether the memory of a gateway was used up; what it lost then may end it later. */
  private boolean wasHungry(String gateway) {
    return disturbances.stream().anyMatch(known -> known.what().equals(MEMORY + " " + gateway));
  }

  private boolean free(String target) {
    return repairs.stream().noneMatch(repair -> repair.target().equals(target));
  }

  private void begin(String target, String what, long millis) {
    long now = System.nanoTime();
    disturbances.add(
        new Disturbance(what + " " + target, now, now + TimeUnit.MILLISECONDS.toNanos(millis)));
  }

  private void later(String target, long millis, Step step) {
    repairs.add(
        new Repair(target, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis), step));
  }

  private void suspend(String target, ManagedProcess process, long millis)
      throws IOException, InterruptedException {
    if (free(target) && process.isAlive()) {
      begin(target, "suspend", millis);
      process.pause();
      later(target, millis, process::resume);
    }
  }

  /** Gives a process a part of the time alone, in slices. */
  private void slice(String target, ManagedProcess process) {
    if (free(target) && process.isAlive()) {
      begin(target, "slice", (long) SLICES * SLICE_MILLIS);
      for (int slice = 0; slice < SLICES; slice++) {
        later(target, (long) slice * SLICE_MILLIS, process::pause);
        later(target, (long) slice * SLICE_MILLIS + PAUSED_MILLIS, process::resume);
      }
    }
  }

  /** Uses up the memory of the last gateway, which is started again if it ends of that. */
  private void fillMemory(SignalsFleet fleet) throws IOException {
    int last = fleet.gatewayCount() - 1;
    String target = SignalsFleet.gatewayName(last);
    if (free(target)) {
      begin(target, MEMORY, 2 * MEMORY_MILLIS);
      fleet.setHungry(true);
      later(target, MEMORY_MILLIS, () -> endHunger(fleet, last));
    }
  }

  /** A gateway that ends for want of memory answers what it holds first. */
  private void endHunger(SignalsFleet fleet, int gateway) throws IOException {
    fleet.setHungry(false);
    later(
        SignalsFleet.gatewayName(gateway),
        MEMORY_MILLIS,
        () -> {
          if (!fleet.gateway(gateway).isAlive()) {
            memoryEnds++;
            fleet.startGateway(gateway);
          }
        });
  }

  private void setLinks(SignalsFleet fleet, String fault) throws IOException {
    if (free(LINKS)) {
      begin(LINKS, fault, LINK_MILLIS);
      fleet.setLinks(fault);
      later(LINKS, LINK_MILLIS, () -> fleet.setLinks("NONE"));
    }
  }

  private boolean report(EngineRuns runs) {
    RequestTries tries = new RequestTries();
    Map<Integer, Integer> statuses = new TreeMap<>();
    for (Sent one : sent) {
      RequestTries.Try seen = one.seen();
      tries.add(seen);
      statuses.merge(seen.status(), 1, Integer::sum);
    }
    out.printf(
        Locale.ROOT,
        "seed %d: %d requests (%d that may run once), %d of them sent again, %d runs, %d faults,"
            + " statuses %s%n",
        seed,
        tries.requests(),
        tries.onceRequests(),
        tries.returns(),
        runs.count(),
        disturbances.size(),
        statuses);
    List<String> twice = tries.ranMoreThanOnce(runs);
    out.println("  ran more than once: " + twice);
    List<EngineRuns.Overlap> overlaps = runs.overlaps();
    List<EngineRuns.Overlap> unexcused =
        overlaps.stream().filter(overlap -> near(overlap).isEmpty()).toList();
    out.printf(
        Locale.ROOT,
        "  at two engines: %d, %d of them away from signals; at two model engines: %d%n",
        overlaps.size(),
        unexcused.size(),
        overlaps.stream().filter(overlap -> SignalsFleet.isModel(overlap.earlier())).count());
    overlaps.forEach(this::print);
    List<String> unanswered = unanswered(runs);
    out.println("  ran and got no answer of a gateway that was not killed: " + unanswered);
    wrongEnds.forEach(end -> out.println("  " + end));
    List<RequestTries.Try> ranThoughRefused = printRefused(tries, runs);
    return twice.isEmpty()
        && unexcused.isEmpty()
        && unanswered.isEmpty()
        && wrongEnds.isEmpty()
        && ranThoughRefused.isEmpty();
  }

  /** Tries that an engine ran and that were refused with an answer that says otherwise. */
  private List<RequestTries.Try> printRefused(RequestTries tries, EngineRuns runs) {
    List<RequestTries.Try> refused = tries.refused();
    List<RequestTries.Try> ran = tries.refusedAndRan(runs);
    out.printf(
        Locale.ROOT,
        "  refused as not run: %d (%d that may run once), of them ran: %s%n",
        refused.size(),
        refused.stream().filter(RequestTries.Try::once).count(),
        ran);
    out.println("  ends of a gateway without memory: " + memoryEnds);
    return ran;
  }

  /** Requests that an engine ran and whose connection ended without an answer. */
  private List<String> unanswered(EngineRuns runs) {
    return sent.stream()
        .filter(one -> one.seen().status() == 0)
        .filter(one -> runs.runsOf(one.call().requestId(), one.tryNumber()) > 0)
        .filter(one -> !wasKilled(one))
        .map(one -> one.seen().toString())
        .toList();
  }

  private boolean wasKilled(Sent one) {
    String name = SignalsFleet.gatewayName(one.gateway());
    return happenedTo(KILL + " " + name, one) || happenedTo(MEMORY + " " + name, one);
  }

  private boolean happenedTo(String what, Sent one) {
    return disturbances.stream()
        .filter(known -> known.what().equals(what))
        .anyMatch(
            known ->
                known.endedNanos() >= one.sentNanos()
                    && known.begunNanos() < one.answeredNanos().get() + KILL_NOTICE_NANOS);
  }

  private void print(EngineRuns.Overlap overlap) {
    out.printf(
        Locale.ROOT,
        "    %s at %s from %s for %d ms beside %s; %s%n",
        overlap.earlier().requestId(),
        overlap.earlier().engine(),
        overlap.earlier().senderHost(),
        TimeUnit.NANOSECONDS.toMillis(overlap.nanos()),
        overlap.later().engine(),
        near(overlap));
  }

  private static boolean sentOverLinks(EngineRuns.Overlap overlap) {
    return overlap.earlier().senderHost().equals(SignalsFleet.LINKED_HOST);
  }

  /**
   * Faults of a gateway, of the links that were used, or to the first engine, after which nothing
   * is promised. A planned stop is none.
   */
  private List<String> near(EngineRuns.Overlap overlap) {
    return disturbances.stream()
        .filter(
            known ->
                known.what().contains("gateway") && !known.what().startsWith(STOP)
                    || known.what().contains(LINKS) && sentOverLinks(overlap)
                    || known.what().endsWith(" " + overlap.earlier().engine()))
        .filter(
            known ->
                known.begunNanos() < overlap.earlier().endedNanos()
                    && known.endedNanos() + CONTACT_NANOS > overlap.earlier().begunNanos())
        .map(
            known ->
                known.what()
                    + " at "
                    + TimeUnit.NANOSECONDS.toMillis(
                        known.begunNanos() - overlap.earlier().begunNanos())
                    + " ms")
        .toList();
  }
}
