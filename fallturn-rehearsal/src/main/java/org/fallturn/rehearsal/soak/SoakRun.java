package org.fallturn.rehearsal.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fallturn.rehearsal.emulator.EmulatedApi;
import org.fallturn.rehearsal.emulator.EmulatedEngine;
import org.fallturn.rehearsal.emulator.OpenWork;

/** Plays one schedule and reports what its checks found. One thread uses it. */
final class SoakRun {

  private static final Duration START = Duration.ofSeconds(5);
  private static final int MAX_REPORTED = 5;

  private final SoakSchedule schedule;
  private final Path directory;
  private final int gateways;
  private final String otherBuild;
  private final PrintStream out;
  private long begunNanos;

  /**
   * A round that has not begun.
   *
   * @param gateways number of gateways
   * @param otherBuild class path of another build of the gateways; empty for none
   */
  SoakRun(SoakSchedule schedule, int gateways, Path directory, String otherBuild, PrintStream out) {
    this.schedule = schedule;
    this.gateways = gateways;
    this.directory = directory;
    this.otherBuild = otherBuild;
    this.out = out;
  }

  /** A fault that begins or ends at a time. */
  private record Step(Duration at, SoakSchedule.Entry entry, boolean begins) {}

  /** Plays it; whether every promise was kept. */
  boolean play() throws Exception {
    Files.createDirectories(directory);
    out.printf("seed %d, %d faults, logs in %s%n", schedule.seed(), faults(), directory);
    schedule.faults().forEach(entry -> out.println("  " + entry));
    return report(record());
  }

  private int faults() {
    return schedule.faults().size();
  }

  private SoakRecord record() throws Exception {
    try (SoakFleet fleet = new SoakFleet(schedule.seed(), gateways, directory, otherBuild)) {
      TimeUnit.MILLISECONDS.sleep(START.toMillis());
      try (SoakLoad load = new SoakLoad(fleet, schedule.seed())) {
        long calmFrom = inject(fleet);
        List<SoakRecord.Call> calls = load.finish();
        List<SoakRecord.Call> first = calls.stream().filter(SoakTries.of(calls)::isFirst).toList();
        List<SoakRecord.Arrival> arrivals = arrivals(fleet);
        List<SoakRecord.Poison> poisons = poisons(fleet, load.poisonSends(), arrivals);
        return new SoakRecord(
            calls,
            arrivals,
            runs(fleet),
            runNanos(fleet),
            drains(fleet),
            fleet.rests(),
            fleet.limits(),
            troubles(fleet),
            poisons,
            new SoakRecord.Control(
                load.probes(this::inTouch),
                orders(fleet),
                ends(fleet),
                comparisons(first, SoakFault::cutsOff),
                comparisons(first, SoakFault::crowds),
                beginWithPoison(fleet, first),
                streams(calls, load.resumptions()),
                usage(fleet),
                departures(fleet, load.departures(), arrivals)),
            calmFrom);
      }
    }
  }

  private long inject(SoakFleet fleet) throws Exception {
    begunNanos = System.nanoTime();
    long begun = begunNanos;
    for (Step step : steps()) {
      sleepUntil(begun + step.at().toNanos());
      SoakSchedule.Entry entry = step.entry();
      if (step.begins()) {
        entry.fault().begin(fleet, entry.target());
      } else {
        entry.fault().end(fleet, entry.target());
      }
    }
    long calmFrom = System.nanoTime();
    sleepUntil(begun + schedule.length().toNanos());
    return calmFrom;
  }

  private List<Step> steps() {
    List<Step> steps = new ArrayList<>();
    for (SoakSchedule.Entry entry : schedule.faults()) {
      steps.add(new Step(entry.begin(), entry, true));
      steps.add(new Step(entry.end(), entry, false));
    }
    steps.sort((left, right) -> left.at().compareTo(right.at()));
    return steps;
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
  }

  private static List<SoakRecord.Arrival> arrivals(SoakFleet fleet) {
    List<SoakRecord.Arrival> all = new ArrayList<>();
    for (EmulatedEngine engine : fleet.platform().allEngines()) {
      engine
          .arrivals()
          .forEach(
              one ->
                  all.add(
                      new SoakRecord.Arrival(
                          engine.id(), one.requestId(), one.nanos(), one.prefill())));
    }
    return all;
  }

  private List<SoakRecord.UsageReport> usage(SoakFleet fleet) {
    List<SoakRecord.UsageReport> reports = new ArrayList<>();
    for (EmulatedApi.Taken report : fleet.platform().api().taken()) {
      if (isThisBuild(fleet.indexOf(report.holder()), report.nanos())) {
        reports.add(
            new SoakRecord.UsageReport(
                report.usageWindow(),
                report.holder(),
                report.fencingToken(),
                report.usageCounts(),
                report.nanos()));
      }
    }
    return reports;
  }

  /**
   * What a gateway of another build does for callers that left says nothing of this one. Work at
   * engines that do not notice the end of a connection says nothing of gateways whose callers left.
   */
  private SoakRecord.Departures departures(
      SoakFleet fleet, List<SoakRecord.Departure> left, List<SoakRecord.Arrival> arrivals) {
    List<SoakRecord.Departure> callers =
        left.stream()
            .map(
                one ->
                    one.inTouchOnlyIf(
                        otherBuild.isEmpty() && inTouch(one.gateway(), one.leftNanos())))
            .toList();
    Map<String, List<OpenWork>> works = new HashMap<>();
    fleet.platform().allEngines().forEach(engine -> works.put(engine.id(), engine.openWork()));
    return new SoakRecord.Departures(
        callers,
        fleet.platform().allEngines().stream()
            .filter(engine -> !engine.worksOnAfterEnd())
            .flatMap(engine -> engine.openWork().stream())
            .toList(),
        SoakOverlaps.of(works, arrivals, (host, nanos) -> reaches(fleet, host, nanos)));
  }

  /** Whether the gateway that sends from a host ran, and its links to engines worked. */
  private boolean reaches(SoakFleet fleet, String host, long nanos) {
    for (int index = 0; index < gateways; index++) {
      if (fleet.gateways().get(index).senderHost().equals(host)) {
        return otherBuild.isEmpty() && !isDisturbed(index, nanos);
      }
    }
    return false;
  }

  /** What becomes of the store is no excuse: it has no part in what a gateway sends where. */
  private boolean isDisturbed(int gateway, long nanos) {
    return schedule.faults().stream()
        .filter(
            entry ->
                entry.fault().cutsOff(gateway, entry.target(), gateways)
                    || entry.fault().stopsGateway()
                        && entry.fault().touches(gateway, entry.target(), gateways))
        .anyMatch(entry -> isNear(entry, nanos));
  }

  /** Whether a fault lasts, or has lasted to within the bound on being in touch. */
  private boolean isNear(SoakSchedule.Entry entry, long nanos) {
    return nanos >= begunNanos + entry.begin().toNanos()
        && nanos < begunNanos + entry.end().plus(SoakFleet.CONTACT).toNanos();
  }

  private static Map<String, Integer> runs(SoakFleet fleet) {
    Map<String, Integer> runs = new HashMap<>();
    fleet
        .platform()
        .allEngines()
        .forEach(engine -> engine.runs().forEach(id -> runs.merge(id, 1, Integer::sum)));
    return runs;
  }

  private static Map<String, List<Long>> runNanos(SoakFleet fleet) {
    return fleet.platform().allEngines().stream()
        .flatMap(engine -> engine.timedRuns().stream())
        .collect(
            Collectors.groupingBy(
                EmulatedEngine.Run::requestId,
                Collectors.mapping(EmulatedEngine.Run::nanos, Collectors.toList())));
  }

  /**
   * When engines were leaving. A notice that came while the store was away, or shortly before,
   * counts from when all gateways are in touch with the restored store.
   */
  private List<SoakRecord.Drain> drains(SoakFleet fleet) {
    List<SoakRecord.Drain> drains = new ArrayList<>();
    for (SoakRecord.Drain drain : fleet.drains()) {
      long known = knownFromNanos(drain.fromNanos(), fault -> fault == SoakFault.STORE_RESTORED);
      drains.add(new SoakRecord.Drain(drain.engineId(), known, drain.toNanos()));
    }
    for (SoakRecord.Drain drain : fleet.oddEntries().drains()) {
      long known = knownFromNanos(drain.fromNanos(), SoakFault::delaysNotices);
      drains.add(new SoakRecord.Drain(drain.engineId(), known, drain.toNanos()));
    }
    return drains;
  }

  private long knownFromNanos(long toldNanos, Predicate<SoakFault> delays) {
    long known = toldNanos;
    for (SoakSchedule.Entry entry : schedule.faults()) {
      long begin = begunNanos + entry.begin().toNanos();
      long inTouch = begunNanos + entry.end().plus(SoakFleet.CONTACT).toNanos();
      boolean whileAway = known + SoakFleet.DRAIN.toNanos() > begin && known < inTouch;
      if (delays.test(entry.fault()) && whileAway) {
        known = inTouch;
      }
    }
    return known;
  }

  private static Map<String, List<SoakRecord.StageOrder>> orders(SoakFleet fleet)
      throws IOException {
    ObjectMapper json = new ObjectMapper();
    Map<String, List<SoakRecord.StageOrder>> orders = new HashMap<>();
    for (EmulatedEngine engine : fleet.platform().allEngines()) {
      List<SoakRecord.StageOrder> taken = new ArrayList<>();
      for (String body : engine.takenOrders()) {
        JsonNode order = json.readTree(body);
        taken.add(
            new SoakRecord.StageOrder(
                order.path("holder").asText(), order.path("fencingToken").asLong()));
      }
      orders.put(engine.id(), taken);
    }
    return orders;
  }

  private List<SoakRecord.Poison> poisons(
      SoakFleet fleet, List<SoakRecord.PoisonSend> sends, List<SoakRecord.Arrival> arrivals) {
    List<SoakRecord.Poison> poisons =
        poisons(fleet, fleet.poisons(), SoakCheck.CRASHES_TOLERATED, sends, arrivals);
    poisons.addAll(
        poisons(fleet, fleet.poisonParts(), SoakCheck.PART_CRASHES_TOLERATED, sends, arrivals));
    return poisons;
  }

  private List<SoakRecord.Poison> poisons(
      SoakFleet fleet,
      List<String> bodies,
      int crashesTolerated,
      List<SoakRecord.PoisonSend> sends,
      List<SoakRecord.Arrival> arrivals) {
    List<SoakRecord.Poison> poisons = new ArrayList<>();
    for (String body : bodies) {
      Map<String, Integer> gateways = new HashMap<>();
      sends.stream()
          .filter(send -> send.body().equals(body))
          .forEach(send -> gateways.put(send.requestId(), send.gateway()));
      List<SoakRecord.Arrival> inTouch =
          arrivals.stream()
              .filter(arrival -> gateways.containsKey(arrival.requestId()))
              .filter(arrival -> inTouch(gateways.get(arrival.requestId()), arrival.nanos()))
              .toList();
      List<Long> crashes = fleet.platform().crashNanos(body);
      poisons.add(new SoakRecord.Poison(body, crashesTolerated, crashes, inTouch));
    }
    return poisons;
  }

  private List<SoakRecord.Trouble> troubles(SoakFleet fleet) {
    List<SoakRecord.Trouble> troubles = new ArrayList<>();
    for (int gateway = 0; gateway < fleet.gateways().size(); gateway++) {
      for (SoakSchedule.Entry entry : schedule.faults()) {
        if (entry.fault().stopsGateway()
            && entry.fault().touches(gateway, entry.target(), gateways)) {
          troubles.add(
              new SoakRecord.Trouble(
                  gateway,
                  begunNanos + entry.begin().toNanos(),
                  begunNanos + entry.end().toNanos()));
        }
      }
      if (!otherBuild.isEmpty()) {
        troubles.addAll(timesOfOtherBuild(gateway));
      }
    }
    return troubles;
  }

  private SoakRecord.GatewayEnds ends(SoakFleet fleet) throws IOException, InterruptedException {
    List<SoakRecord.Trouble> killed = new ArrayList<>();
    List<SoakRecord.Trouble> absent = new ArrayList<>();
    for (SoakSchedule.Entry entry : schedule.faults()) {
      if (entry.fault().restartsGateway()) {
        int gateway = fleet.indexOf(entry.target());
        long begin = begunNanos + entry.begin().toNanos();
        long end = begunNanos + entry.end().toNanos();
        long started = startedNanos(gateway, end);
        boolean atOnce = entry.fault() == SoakFault.GATEWAY_KILLED;
        killed.add(new SoakRecord.Trouble(gateway, atOnce ? begin : end, started));
        absent.add(new SoakRecord.Trouble(gateway, begin, started));
      }
    }
    List<String> own = new ArrayList<>();
    for (SoakGateway gateway : fleet.gateways()) {
      own.addAll(gateway.ownEnds());
      if (otherBuild.isEmpty() && gateway.failedDuties() > 0) {
        own.add(gateway.name() + " logged " + gateway.failedDuties() + " failures of duties");
      }
    }
    return new SoakRecord.GatewayEnds(killed, absent, own);
  }

  /** When a process has started; one that is suspended meanwhile goes on only after that. */
  private long startedNanos(int gateway, long beginNanos) {
    long started = beginNanos + START.toNanos();
    for (SoakSchedule.Entry entry : schedule.faults()) {
      long suspended = begunNanos + entry.begin().toNanos();
      if (entry.fault().stopsGateway()
          && entry.fault().touches(gateway, entry.target(), gateways)
          && suspended >= beginNanos
          && suspended < started) {
        started = begunNanos + entry.end().toNanos() + START.toNanos();
      }
    }
    return started;
  }

  /**
   * When a gateway ran the other build, which may know nothing of what engines say of themselves:
   * the landed one sent on 1,627 requests in a minute to an engine that had said it leaves.
   */
  private List<SoakRecord.Trouble> timesOfOtherBuild(int gateway) {
    List<SoakRecord.Trouble> times = new ArrayList<>();
    boolean other = SoakBuilds.beginsWithOther(gateway);
    long from = Long.MIN_VALUE;
    for (SoakSchedule.Entry entry : schedule.faults()) {
      if (entry.fault().restartsGateway()
          && entry.fault().touches(gateway, entry.target(), gateways)) {
        long restarted = begunNanos + entry.end().toNanos();
        if (other) {
          times.add(new SoakRecord.Trouble(gateway, from, restarted));
        }
        other = !other;
        from = restarted;
      }
    }
    if (other) {
      times.add(new SoakRecord.Trouble(gateway, from, Long.MAX_VALUE));
    }
    return times;
  }

  /** Whether a fault means a gateway. */
  @FunctionalInterface
  private interface MeansGateway {

    boolean test(SoakFault fault, int gateway, int target, int gateways);
  }

  /**
   * Requests of gateways in touch that share the first part with poisoned ones, sent so long after
   * the last crash that counts that all gateways must know which part it was.
   */
  private List<SoakRecord.Call> beginWithPoison(SoakFleet fleet, List<SoakRecord.Call> calls) {
    List<SoakRecord.Call> late = new ArrayList<>();
    for (String part : fleet.poisonParts()) {
      List<Long> crashes = fleet.platform().crashNanos(part);
      if (!crashes.isEmpty()) {
        int last = Math.min(crashes.size(), SoakCheck.PART_CRASHES_TOLERATED) - 1;
        long from = crashes.get(last) + 2 * SoakFleet.CONTACT.toNanos();
        calls.stream()
            .filter(call -> call.kind().model() && call.sentNanos() > from)
            .filter(call -> inTouch(call.gateway(), call.sentNanos()))
            .filter(call -> isThisBuild(call.gateway(), call.sentNanos()))
            .forEach(late::add);
      }
    }
    return late;
  }

  private List<SoakRecord.CutOff> comparisons(
      List<SoakRecord.Call> calls, MeansGateway meansGateway) {
    List<SoakRecord.CutOff> cutOffs = new ArrayList<>();
    for (SoakSchedule.Entry entry : schedule.faults()) {
      for (int gateway = 0; gateway < gateways; gateway++) {
        if (meansGateway.test(entry.fault(), gateway, entry.target(), gateways)) {
          cutOffs.add(cutOff(gateway, entry, calls));
        }
      }
    }
    return cutOffs;
  }

  /** What a gateway of another build does with streams says nothing of this one. */
  private SoakRecord.Streams streams(
      List<SoakRecord.Call> calls, List<SoakRecord.Resumption> resumptions) {
    List<SoakRecord.Call> begun =
        calls.stream()
            .filter(SoakTries.of(calls)::isFirst)
            .filter(call -> call.kind() == SoakRecord.Kind.RESUMABLE_STREAM)
            .filter(call -> inTouch(call.gateway(), call.sentNanos()))
            .toList();
    List<SoakRecord.Call> answers =
        calls.stream()
            .filter(call -> call.kind().model())
            .filter(call -> isThisBuild(call.gateway(), call.sentNanos()))
            .toList();
    return new SoakRecord.Streams(answers, begun, ofThisBuild(resumptions));
  }

  private List<SoakRecord.Resumption> ofThisBuild(List<SoakRecord.Resumption> all) {
    return all.stream()
        .filter(one -> isThisBuild(one.gateway(), one.sentNanos()))
        .map(
            one ->
                one.promisedOnlyIf(otherBuild.isEmpty() && inTouch(one.gateway(), one.sentNanos())))
        .toList();
  }

  private boolean isThisBuild(int gateway, long nanos) {
    return otherBuild.isEmpty()
        || !SoakRecord.meets(timesOfOtherBuild(gateway), gateway, nanos, nanos + 1);
  }

  private SoakRecord.CutOff cutOff(
      int gateway, SoakSchedule.Entry entry, List<SoakRecord.Call> calls) {
    long from = begunNanos + entry.begin().plus(SoakFleet.CONTACT).toNanos();
    long until = begunNanos + entry.end().toNanos();
    List<SoakRecord.Call> meanwhile =
        calls.stream()
            .filter(call -> call.sentNanos() >= from && call.sentNanos() < until)
            .filter(call -> inTouch(gateway, call.sentNanos()))
            .filter(call -> othersInTouch(gateway, call.sentNanos()))
            .filter(call -> inTouch(call.gateway(), call.sentNanos()))
            .filter(
                call ->
                    !entry.fault().cutsOff(gateway, entry.target(), gateways)
                        || peersAreReached(call.sentNanos()))
            .toList();
    return new SoakRecord.CutOff(
        gateway,
        meanwhile.stream().filter(call -> call.gateway() == gateway).toList(),
        meanwhile.stream().filter(call -> call.gateway() != gateway).toList());
  }

  /** A gateway is promised to serve when it is cut off as far as the others still reach it. */
  private boolean peersAreReached(long nanos) {
    return schedule.faults().stream()
        .filter(entry -> entry.fault().cutsPeers())
        .noneMatch(entry -> isNear(entry, nanos));
  }

  private boolean othersInTouch(int gateway, long nanos) {
    return IntStream.range(0, gateways)
        .anyMatch(other -> other != gateway && inTouch(other, nanos));
  }

  /** Whether no trouble of a gateway has lasted to within the bound on being in touch. */
  private boolean inTouch(int gateway, long nanos) {
    return schedule.faults().stream()
        .filter(entry -> entry.fault().touches(gateway, entry.target(), gateways))
        .noneMatch(entry -> isNear(entry, nanos));
  }

  private boolean report(SoakRecord record) {
    Map<Integer, Long> statuses =
        record.calls().stream()
            .collect(
                Collectors.groupingBy(
                    SoakRecord.Call::status, TreeMap::new, Collectors.counting()));
    out.printf(
        "%d tries of %d requests, %d arrivals at engines, by status %s%n",
        record.calls().size(),
        record.calls().stream().map(SoakRecord.Call::requestId).distinct().count(),
        record.arrivals().size(),
        statuses);
    record
        .poisons()
        .forEach(
            poison ->
                out.printf(
                    "  %s crashed %d engines, %d arrivals%n",
                    poison.body(), poison.crashNanos().size(), poison.sends().size()));
    List<SoakRecord.Resumption> resumptions = record.control().streams().resumptions();
    List<SoakRecord.Resumption> promised = record.control().streams().promised();
    out.printf(
        "%d streams resumed, %d successfully; %d of %d promised ones%n",
        resumptions.size(), succeeded(resumptions), succeeded(promised), promised.size());
    List<SoakRecord.Departure> left = record.control().departures().callers();
    out.printf(
        "%d callers left, %d of gateways in touch%n",
        left.size(), left.stream().filter(SoakRecord.Departure::inTouch).count());
    List<Long> windows =
        record.control().usage().stream()
            .map(SoakRecord.UsageReport::window)
            .distinct()
            .sorted()
            .toList();
    out.printf(
        "%d reports of the usage of %d windows, of %d from the first to the last%n",
        record.control().usage().size(),
        windows.size(),
        windows.isEmpty() ? 0 : windows.get(windows.size() - 1) - windows.get(0) + 1);
    boolean kept = true;
    for (SoakCheck check : SoakCheck.values()) {
      List<String> violations = check.violations(record);
      out.printf("  %-22s %s%n", check, violations.isEmpty() ? "kept" : violations.size());
      violations.stream().limit(MAX_REPORTED).forEach(line -> out.println("    " + line));
      kept &= violations.isEmpty();
    }
    out.println(kept ? "GOOD" : "NOT GOOD: fallturn explain " + directory + "/*.log --request ID");
    return kept;
  }

  private static long succeeded(List<SoakRecord.Resumption> resumptions) {
    return resumptions.stream().filter(SoakRecord.Resumption::succeeded).count();
  }
}
