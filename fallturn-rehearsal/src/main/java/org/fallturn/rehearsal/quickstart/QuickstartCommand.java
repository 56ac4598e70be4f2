package org.fallturn.rehearsal.quickstart;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.command.Command;
import org.fallturn.node.metrics.LogSetup;
import org.fallturn.node.server.NodeServer;
import org.fallturn.node.settings.LogLevel;
import org.fallturn.rehearsal.application.ApplicationStandIn;
import org.fallturn.rehearsal.emulator.PlatformQuickstart;
import org.fallturn.rehearsal.engine.EngineStandIn;
import org.fallturn.rehearsal.fleet.CallResult;
import org.fallturn.rehearsal.fleet.FleetCaller;
import org.fallturn.rehearsal.fleet.FleetConfiguration;

/**
 * {@code fallturn-rehearsal quickstart}: exits with 0 only when every answer was whole and right
 * and nothing ran twice.
 */
public final class QuickstartCommand implements Command {

  private static final Duration DEADLINE = Duration.ofSeconds(30);
  private static final long READY_SECONDS = 60;
  private static final long READY_CHECK_MILLIS = 50;
  private static final int HTTP_OK = 200;

  @Override
  public String name() {
    return "quickstart";
  }

  @Override
  public String help() {
    return "start a whole small fleet in this process, play a bounded load, print a report";
  }

  @Override
  public void declare(Subparser parser) {
    parser
        .addArgument("--keep")
        .action(Arguments.storeTrue())
        .help("leave the fleet up and print its addresses");
    parser
        .addArgument("--platform")
        .action(Arguments.storeTrue())
        .help("play through gateways on an emulation of the users' platform instead");
    parser.addArgument("--requests").type(Integer.class).setDefault(400);
    parser.addArgument("--completions").type(Integer.class).setDefault(300);
    parser.addArgument("--actions").type(Integer.class).setDefault(100);
    parser.addArgument("--seed").type(Long.class).setDefault(1L);
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    Path logs = Files.createTempFile("fallturn-quickstart-", ".log");
    LogSetup.applyFile(logs, LogLevel.INFO);
    System.out.println("logs are written to " + logs);
    if (arguments.getBoolean("platform")) {
      boolean good = new PlatformQuickstart(System.out).play(arguments.getInt("requests"));
      return good ? 0 : 1;
    }
    System.out.println("starting platform, 4 engines, 2 applications and 3 nodes ...");
    try (LocalFleet fleet = LocalFleet.start()) {
      awaitReady(fleet);
      boolean good = play(fleet, arguments);
      if (arguments.getBoolean("keep")) {
        keep(fleet);
      }
      return good ? 0 : 1;
    }
  }

  private static void awaitReady(LocalFleet fleet) throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
    for (NodeServer node : fleet.nodes()) {
      while (!isReady(node)) {
        if (System.nanoTime() - deadline > 0) {
          throw new IOException(node.node() + " does not become ready");
        }
        Thread.sleep(READY_CHECK_MILLIS);
      }
    }
  }

  private static boolean isReady(NodeServer node) throws IOException {
    URI uri = URI.create("http://" + node.operatorsAddress() + "/readyz");
    HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
    try {
      return connection.getResponseCode() == HTTP_OK;
    } finally {
      connection.disconnect();
    }
  }

  private static boolean play(LocalFleet fleet, Namespace arguments) throws Exception {
    LoadReport completed = new LoadReport(DEADLINE);
    LoadReport acted = new LoadReport(DEADLINE);
    try (FleetCaller caller = new FleetCaller(FleetConfiguration.FIRST_KEY, DEADLINE)) {
      awaitFirstAnswers(caller, fleet);
      new BoundedLoad(caller, fleet.callers(), arguments.getLong("seed"))
          .play(arguments.getInt("completions"), arguments.getInt("actions"), completed, acted);
    }
    System.out.println("\ncompletions of a model\n" + completed.text());
    System.out.println("actions of applications\n" + acted.text());
    long roleChanges = 0;
    for (EngineStandIn engine : fleet.engines()) {
      roleChanges += engine.journal().roleChangesStarted();
    }
    long doubled = 0;
    for (ApplicationStandIn application : fleet.applications()) {
      doubled += application.counts().doubled();
    }
    System.out.println("role changes           " + roleChanges);
    System.out.println("doubled actions        " + doubled);
    boolean good = allComplete(completed) && allComplete(acted) && doubled == 0;
    System.out.println(good ? "GOOD: every answer was whole and right" : "NOT GOOD");
    return good;
  }

  /** Until the pool has its first leader, a node says of a completion that it was not run. */
  private static void awaitFirstAnswers(FleetCaller caller, LocalFleet fleet)
      throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
    for (NetworkAddress node : fleet.callers()) {
      while (!answers(caller, node)) {
        if (System.nanoTime() - deadline > 0) {
          throw new IOException("no completion through " + node);
        }
        Thread.sleep(READY_CHECK_MILLIS);
      }
    }
  }

  private static boolean answers(FleetCaller caller, NetworkAddress node) {
    String key = "ready-" + UUID.randomUUID();
    return caller.complete(node, "ready?", 1).verdict() == CallResult.Verdict.COMPLETE
        && caller.act(node, FleetConfiguration.ONCE_SERVICE, key, key).verdict()
            == CallResult.Verdict.COMPLETE;
  }

  private static boolean allComplete(LoadReport report) {
    return report.count(CallResult.Verdict.COMPLETE) == report.total();
  }

  private static void keep(LocalFleet fleet) throws InterruptedException {
    System.out.println("\nplatform   " + fleet.platform());
    for (NodeServer node : fleet.nodes()) {
      node.addresses()
          .forEach((port, address) -> System.out.println(node.node() + " " + port + " " + address));
    }
    System.out.printf(
        "%ncurl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s'"
            + " -H 'Content-Type: application/json'"
            + " -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":16,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'%n",
        fleet.callers().get(0), FleetConfiguration.FIRST_KEY, FleetConfiguration.MODEL);
    System.out.println("operator key " + FleetConfiguration.OPERATOR_KEY + "; stop with Ctrl-C");
    new CountDownLatch(1).await();
  }
}
