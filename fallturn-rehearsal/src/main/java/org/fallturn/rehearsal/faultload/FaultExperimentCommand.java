package org.fallturn.rehearsal.faultload;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.engine.OrderNumber;
import org.fallturn.node.command.Command;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.engine.EngineJournal;
import org.fallturn.rehearsal.fleet.CallResult.Verdict;
import org.fallturn.rehearsal.fleet.FleetCaller;
import org.fallturn.rehearsal.fleet.FleetConfiguration;
import org.fallturn.rehearsal.fleet.FleetNode;
import org.fallturn.rehearsal.fleet.FleetPlan;
import org.fallturn.rehearsal.fleet.ManagedProcess;
import org.fallturn.rehearsal.fleet.ProcessFleet;

/**
 * {@code fallturn-rehearsal experiment faults}: exits with 0 only when nothing ran twice, no answer
 * was crossed, no planned change cut a request, nothing that was said not to have run had run, and
 * no engine executed orders out of order.
 */
public final class FaultExperimentCommand implements Command {

  private static final Duration PATIENCE = Duration.ofSeconds(40);
  private static final int NODES = 3;
  private static final long SERVING_SECONDS = 90;
  private static final long CHECK_MILLIS = 100;
  private static final String CONNECTION_REFUSED = "ConnectException";

  @Override
  public String name() {
    return "faults";
  }

  @Override
  public String help() {
    return "a checked load on real processes under seeded faults";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--first-seed").dest("firstSeed").type(Long.class).setDefault(1L);
    parser.addArgument("--seeds").type(Integer.class).setDefault(1).help("runs, a seed each");
    parser.addArgument("--seconds").type(Integer.class).setDefault(45).help("load of each run");
    parser.addArgument("--out").setDefault("experiment-results").help("output folder");
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    Path output = Path.of(arguments.getString("out"));
    Files.createDirectories(output);
    List<FaultFigures> runs = new ArrayList<>();
    for (int index = 0; index < arguments.getInt("seeds"); index++) {
      long seed = arguments.getLong("firstSeed") + index;
      FaultFigures figures =
          play(seed, arguments.getInt("seconds"), output.resolve("faults-logs-" + seed));
      System.out.println(figures.text());
      runs.add(figures);
      Files.write(output.resolve("faults.json"), new JsonCodec().encode(runs));
    }
    return runs.stream().allMatch(FaultFigures::good) ? 0 : 1;
  }

  private static FaultFigures play(long seed, int seconds, Path logs) throws Exception {
    FleetPlan plan = FleetPlan.small(NODES).withEngines(2, 2).withApplications(2);
    try (ProcessFleet fleet = ProcessFleet.start(plan, logs, seed);
        FleetCaller caller = new FleetCaller(FleetConfiguration.FIRST_KEY, PATIENCE)) {
      List<NetworkAddress> nodes = new ArrayList<>();
      for (FleetNode node : fleet.nodes().values()) {
        awaitServing(caller, node.callers());
        nodes.add(node.callers());
      }
      CheckedLoad load = new CheckedLoad(caller, seed, nodes);
      FaultWindows windows = new FaultWindows();
      FaultInjector injector = new FaultInjector(fleet, load, windows, seed);
      long start = System.nanoTime();
      load.start();
      try (load) {
        while (System.nanoTime() - start < TimeUnit.SECONDS.toNanos(seconds)) {
          System.out.println("  " + injector.injectOne());
        }
      }
      long lasted = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - start);
      return count(seed, lasted, fleet, load, windows);
    }
  }

  private static void awaitServing(FleetCaller caller, NetworkAddress node) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(SERVING_SECONDS);
    while (caller.complete(node, "ready?", 1).verdict() != Verdict.COMPLETE) {
      if (System.nanoTime() - deadline > 0) {
        throw new IllegalStateException("no completion through " + node);
      }
      TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
    }
  }

  private static FaultFigures count(
      long seed, long seconds, ProcessFleet fleet, CheckedLoad load, FaultWindows windows)
      throws Exception {
    Map<String, Integer> executions = new HashMap<>();
    for (ManagedProcess application : fleet.applications().values()) {
      fleet
          .control()
          .counts(application.address())
          .perKey()
          .forEach((key, count) -> executions.merge(key, count, Integer::sum));
    }
    long doubled = load.keys().stream().filter(key -> executions.getOrDefault(key, 0) > 1).count();
    long ranThoughNotRun = load.neverRan().stream().filter(executions::containsKey).count();
    List<CheckedLoad.Call> calls = load.calls();
    long unreachable = calls.stream().filter(FaultExperimentCommand::isUnreachable).count();
    List<CheckedLoad.Call> broken =
        calls.stream().filter(FaultExperimentCommand::isBroken).toList();
    List<CheckedLoad.Call> unexcused =
        broken.stream().filter(call -> !windows.touches(call.fromNanos(), call.toNanos())).toList();
    unexcused.forEach(call -> System.out.println("  cut without a fault: " + call.result()));
    return new FaultFigures(
        seed,
        seconds,
        windows.injected(),
        calls.size(),
        count(calls, Verdict.COMPLETE),
        count(calls, Verdict.NOT_RUN),
        count(calls, Verdict.UNKNOWN),
        unreachable,
        count(calls, Verdict.CUT) - unreachable,
        unexcused.size(),
        count(calls, Verdict.WRONG),
        doubled,
        ranThoughNotRun,
        conflictingOrders(fleet));
  }

  private static long count(List<CheckedLoad.Call> calls, Verdict verdict) {
    return calls.stream().filter(call -> call.result().verdict() == verdict).count();
  }

  private static boolean isUnreachable(CheckedLoad.Call call) {
    return call.result().verdict() == Verdict.CUT
        && call.result().detail().contains(CONNECTION_REFUSED);
  }

  private static boolean isBroken(CheckedLoad.Call call) {
    Verdict verdict = call.result().verdict();
    boolean unknown = verdict == Verdict.UNKNOWN || verdict == Verdict.CUT;
    return unknown && !isUnreachable(call) && !isAnswerToRetry(call);
  }

  /** A retry is told that the first attempt may still run, or that its outcome is unknown. */
  private static boolean isAnswerToRetry(CheckedLoad.Call call) {
    String detail = call.result().detail();
    return detail.startsWith("IN_PROGRESS") || detail.contains("idempotency key");
  }

  private static long conflictingOrders(ProcessFleet fleet) throws Exception {
    long conflicts = 0;
    for (ManagedProcess engine : fleet.engines().values()) {
      EngineJournal journal =
          fleet.control().get(engine.address(), "/control/journal", EngineJournal.class);
      OrderNumber last = OrderNumber.NONE;
      for (EngineJournal.OrderEntry order : journal.orders()) {
        if (!order.executed()) {
          continue;
        }
        if (order.number().compareTo(last) <= 0) {
          conflicts++;
        }
        last = order.number();
      }
    }
    return conflicts;
  }
}
