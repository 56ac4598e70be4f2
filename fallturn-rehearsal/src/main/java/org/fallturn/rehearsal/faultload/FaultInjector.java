package org.fallturn.rehearsal.faultload;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.rehearsal.application.ApplicationControl;
import org.fallturn.rehearsal.faults.LinkFaults;
import org.fallturn.rehearsal.fleet.FleetNode;
import org.fallturn.rehearsal.fleet.ManagedProcess;
import org.fallturn.rehearsal.fleet.ProcessFleet;
import org.fallturn.rehearsal.platform.PlatformFaults;

/**
 * Draws faults from a seed, injects them one after the other and heals each before the next. Used
 * by one thread, which blocks for as long as a fault lasts.
 */
final class FaultInjector {

  private static final long MIN_MILLIS = 800;
  private static final long SPREAD_MILLIS = 2_200;
  private static final long SETTLE_MILLIS = 1_500;
  private static final long EXIT_SECONDS = 90;
  private static final long LEAVE_SECONDS = 4;
  private static final long ANSWERING_SECONDS = 30;

  private final ProcessFleet fleet;
  private final CheckedLoad load;
  private final FaultWindows windows;
  private final Random random;

  FaultInjector(ProcessFleet fleet, CheckedLoad load, FaultWindows windows, long seed) {
    this.fleet = fleet;
    this.load = load;
    this.windows = windows;
    this.random = new Random(seed);
  }

  /** Injects one fault, waits for as long as it lasts, heals it and lets the fleet settle. */
  FaultKind injectOne() throws Exception {
    FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
    long from = System.nanoTime();
    inject(kind);
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    windows.add(kind, from, System.nanoTime());
    return kind;
  }

  private void inject(FaultKind kind) throws Exception {
    switch (kind) {
      case NODE_KILLED -> killNode();
      case NODE_PAUSED -> pauseNode();
      case NODE_ISOLATED -> isolateNode();
      case NODE_STOPPED_AS_PLANNED -> stopNode();
      case ENGINE_KILLED -> killEngine();
      case ENGINE_LEAVES_AS_PLANNED -> letEngineLeave();
      case ENGINE_LINK_RESETS ->
          disturb(engine(), LinkFaults.resetAfter(200 + random.nextInt(3_000)));
      case ENGINE_LINK_SLOW -> disturb(engine(), LinkFaults.delay(5 + random.nextInt(100)));
      case GOSSIP_DISTURBED -> disturbGossip();
      case STORE_DOWN -> disturbPlatform(PlatformFaults.tableRefusing());
      case STORE_SILENT -> disturbPlatform(silentTable());
      case STORE_SLOW ->
          disturbPlatform(new PlatformFaults(Set.of(), Set.of(), 50 + random.nextInt(500), 0, ""));
      case STORE_ANSWERS_LOST ->
          disturbPlatform(PlatformFaults.losingAnswers(1 + random.nextInt(10), ""));
      case APPLICATION_ANSWERS_LOST -> loseApplicationAnswers();
      default -> throw new IllegalStateException("not injected: " + kind);
    }
  }

  private static PlatformFaults silentTable() {
    return new PlatformFaults(Set.of(), Set.of(PlatformFaults.Part.TABLE), 0, 0, "");
  }

  private void last() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(MIN_MILLIS + random.nextInt((int) SPREAD_MILLIS));
  }

  private FleetNode node() {
    List<FleetNode> nodes = List.copyOf(fleet.nodes().values());
    return nodes.get(random.nextInt(nodes.size()));
  }

  private String engine() {
    List<String> engines = List.copyOf(fleet.engines().keySet());
    return engines.get(random.nextInt(engines.size()));
  }

  private void killNode() throws Exception {
    FleetNode victim = node();
    NetworkAddress callers = victim.callers();
    victim.process().kill();
    load.remove(callers);
    last();
    fleet.remove(victim.id());
    addNode();
  }

  private void addNode() throws Exception {
    FleetNode added = fleet.addNode();
    fleet.control().awaitAnswering(added.operators(), ANSWERING_SECONDS);
    load.add(added.callers());
  }

  private void pauseNode() throws Exception {
    FleetNode victim = node();
    victim.process().pause();
    last();
    victim.process().resume();
  }

  private void isolateNode() throws Exception {
    fleet.isolate(node().id());
    last();
    fleet.proxy().heal();
  }

  private void stopNode() throws Exception {
    FleetNode leaver = node();
    addNode();
    NetworkAddress callers = leaver.callers();
    load.remove(callers);
    leaver.process().terminate();
    if (leaver.process().awaitExit(EXIT_SECONDS).orElse(-1) != 0) {
      throw new IOException(leaver.id() + " did not stop as planned");
    }
    fleet.remove(leaver.id());
  }

  private void killEngine() throws Exception {
    String victim = engine();
    fleet.engines().get(victim).kill();
    last();
    replaceEngine(victim);
  }

  private void replaceEngine(String gone) throws Exception {
    String role = fleet.engineRole(gone);
    ManagedProcess process = fleet.engines().get(gone);
    fleet.remove(gone);
    process.close();
    fleet.addEngine(role);
  }

  private void letEngineLeave() throws Exception {
    String leaver = engine();
    fleet.addEngine(fleet.engineRole(leaver));
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    fleet.announceLeaving(leaver);
    TimeUnit.SECONDS.sleep(LEAVE_SECONDS);
    ManagedProcess process = fleet.engines().get(leaver);
    fleet.control().awaitIdleEngine(process.address(), EXIT_SECONDS);
    fleet.remove(leaver);
    process.close();
  }

  private void disturb(String link, LinkFaults faults) throws Exception {
    fleet.proxy().set(link, faults);
    last();
    fleet.proxy().heal();
  }

  private void disturbGossip() throws Exception {
    LinkFaults faults = LinkFaults.datagrams(0.2, 0.2, 0.2);
    for (String node : fleet.nodes().keySet()) {
      fleet.proxy().set(ProcessFleet.gossipLink(node), faults);
    }
    last();
    fleet.proxy().heal();
  }

  private void disturbPlatform(PlatformFaults faults) throws Exception {
    fleet.control().platformFaults(faults);
    last();
    fleet.control().platformFaults(PlatformFaults.NONE);
  }

  private void loseApplicationAnswers() throws Exception {
    List<ManagedProcess> applications = List.copyOf(fleet.applications().values());
    ManagedProcess victim = applications.get(random.nextInt(applications.size()));
    int lost = 1 + random.nextInt(3);
    int cutMidway = random.nextInt(2);
    fleet.control().behave(victim.address(), new ApplicationControl(5, false, 0, lost, cutMidway));
    last();
    fleet.control().behave(victim.address(), new ApplicationControl(5, false, 0, 0, 0));
  }
}
