package org.fallturn.it;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionFactory;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.rehearsal.fleet.CallResult;
import org.fallturn.rehearsal.fleet.FleetCaller;
import org.fallturn.rehearsal.fleet.FleetConfiguration;
import org.fallturn.rehearsal.fleet.FleetNode;
import org.fallturn.rehearsal.fleet.FleetPlan;
import org.fallturn.rehearsal.fleet.ProcessFleet;
import org.fallturn.rehearsal.platform.PlatformFaults;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * A fleet of real processes for one test class. It serves when the first test begins; faults are
 * taken away after each test, and a test that ends a process starts another one in its place. The
 * logs are kept under {@code target/fleets} when a test fails.
 */
final class FleetExtension implements BeforeAllCallback, AfterEachCallback, AfterAllCallback {

  private static final Duration START_PATIENCE = Duration.ofSeconds(60);
  private static final Duration CALL_PATIENCE = Duration.ofSeconds(60);
  private static final long SEED = 20_261_202L;

  private final FleetPlan plan;
  private ProcessFleet fleet;
  private FleetCaller caller;
  private boolean failed;

  FleetExtension(FleetPlan plan) {
    this.plan = plan;
  }

  /** Waits with generous patience; the condition decides. */
  static ConditionFactory eventually() {
    return Awaitility.await()
        .atMost(Duration.ofSeconds(60))
        .pollInterval(Duration.ofMillis(50))
        .pollInSameThread();
  }

  @Override
  public void beforeAll(ExtensionContext context) throws Exception {
    Path directory = Path.of("target", "fleets", context.getRequiredTestClass().getSimpleName());
    delete(directory);
    caller = new FleetCaller(FleetConfiguration.FIRST_KEY, CALL_PATIENCE);
    fleet = ProcessFleet.start(plan, directory, SEED);
    for (FleetNode node : fleet.nodes().values()) {
      awaitServing(node);
    }
  }

  /** Waits until a node answers a completion and an action. */
  void awaitServing(FleetNode node) throws IOException {
    NetworkAddress address = node.callers();
    Awaitility.await(node.id() + " serves")
        .atMost(START_PATIENCE)
        .pollInterval(Duration.ofMillis(100))
        .pollInSameThread()
        .until(
            () ->
                caller.complete(address, "ready?", 1).verdict() == CallResult.Verdict.COMPLETE
                    && caller
                            .act(address, FleetConfiguration.REPEATABLE_SERVICE, readyKey(), "")
                            .verdict()
                        == CallResult.Verdict.COMPLETE);
  }

  /** A key of its own each time, so that no action counts as doubled. */
  private static String readyKey() {
    return "ready-" + UUID.randomUUID();
  }

  @Override
  public void afterEach(ExtensionContext context) throws Exception {
    failed |= context.getExecutionException().isPresent();
    fleet.proxy().heal();
    fleet.control().platformFaults(PlatformFaults.NONE);
  }

  @Override
  public void afterAll(ExtensionContext context) throws Exception {
    if (caller != null) {
      caller.close();
    }
    if (fleet != null) {
      fleet.close();
      if (!failed) {
        delete(fleet.directory());
      }
    }
  }

  private static void delete(Path directory) throws IOException {
    if (!Files.exists(directory)) {
      return;
    }
    try (Stream<Path> files = Files.walk(directory)) {
      List<Path> deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
      for (Path file : deepestFirst) {
        Files.delete(file);
      }
    }
  }

  /** The fleet. */
  ProcessFleet fleet() {
    return fleet;
  }

  /** A caller of the first tenant. */
  FleetCaller caller() {
    return caller;
  }

  /** Where callers of a node connect. */
  NetworkAddress callers(String node) throws IOException {
    return fleet.node(node).callers();
  }
}
