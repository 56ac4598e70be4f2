package org.fallturn.rehearsal.configuration;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.fallturn.core.configuration.ApiKeyRecord;
import org.fallturn.core.configuration.ConfigurationRecord;
import org.fallturn.core.configuration.PlannedChange;
import org.fallturn.core.configuration.ProposedChange;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.node.configuration.CommitResult;
import org.fallturn.node.configuration.ConfigurationModule;
import org.fallturn.node.configuration.LocalNode;

/**
 * Measures on hollow nodes how long an accepted change takes to be in force everywhere and what it
 * costs a node, and how many changes are accepted a second.
 */
final class ConfigurationExperiment {

  private static final long GOSSIP_MILLIS = 1000;
  private static final long SETTLE_SECONDS = 60;
  private static final int HEX_DIGITS = 64;
  private static final double MICROS_PER_MILLI = 1000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int P50 = 50;
  private static final int P99 = 99;

  private final ConfigurationPlan plan;
  private final PrintStream out;
  private final Random random;
  private final AtomicInteger changeNumber = new AtomicInteger();

  ConfigurationExperiment(ConfigurationPlan plan, PrintStream out) {
    this.plan = plan;
    this.out = out;
    this.random = new Random(plan.seed());
  }

  ConfigurationReport run() throws Exception {
    ScheduledExecutorService gossip = Executors.newSingleThreadScheduledExecutor();
    try (HollowFleet fleet = new HollowFleet(plan.nodes(), plan.zones())) {
      gossip.scheduleAtFixedRate(
          fleet::gossip, GOSSIP_MILLIS, GOSSIP_MILLIS, TimeUnit.MILLISECONDS);
      awaitAll(fleet, 0);
      configure(fleet);
      List<SpreadSample> spread = new ArrayList<>();
      spread.add(spread("all nodes alive", fleet, () -> anyLiving(fleet).module()));
      try (ConfigurationModule alone = loneCommitter(fleet)) {
        spread.add(spread("accepting node dies at once", fleet, () -> alone));
      }
      List<CommitSample> commits = List.of(commits(fleet, 1), commits(fleet, 8));
      killSome(fleet);
      spread.add(spread("some nodes just died", fleet, () -> anyLiving(fleet).module()));
      print(spread, commits);
      return new ConfigurationReport(plan.nodes(), plan.zones(), plan.tenants(), spread, commits);
    } finally {
      gossip.shutdownNow();
    }
  }

  private void configure(HollowFleet fleet) {
    ConfigurationModule module = fleet.living().get(0).module();
    List<ConfigurationRecord> records = new ArrayList<>();
    for (int index = 0; index < plan.tenants(); index++) {
      records.add(tenant("tenant-" + index, 100));
      String hash = String.format(Locale.ROOT, "%0" + HEX_DIGITS + "x", index);
      records.add(new ApiKeyRecord(hash, new TenantName("tenant-" + index), "first"));
    }
    long version = propose(module, records).toCompletableFuture().join().version();
    awaitAll(fleet, version);
  }

  private ConfigurationModule loneCommitter(HollowFleet fleet) {
    LocalNode self =
        new LocalNode(
            new NodeId("dying"), new ZoneName("zone-0"), NetworkAddress.parse("127.0.0.1:1"));
    return new ConfigurationModule(
            fleet.options(),
            fleet.alone(self),
            fleet.table(),
            fleet.objectStore(),
            fleet.client(),
            fleet.codec())
        .start();
  }

  private SpreadSample spread(
      String name, HollowFleet fleet, Supplier<ConfigurationModule> accepting) throws Exception {
    SpreadMeter meter = new SpreadMeter();
    for (HollowNode node : fleet.living()) {
      AtomicLong before = new AtomicLong(node.module().version());
      node.module()
          .addListener(
              image ->
                  meter.inForce(
                      node.id().value(),
                      before.getAndSet(image.version()),
                      image.version(),
                      System.nanoTime()));
    }
    long bytesBefore = fleet.bytes();
    long version = 0;
    for (int change = 0; change < plan.changes(); change++) {
      CommitResult result = change(accepting.get()).toCompletableFuture().join();
      version = result.version();
      meter.accepted(version, System.nanoTime());
      TimeUnit.NANOSECONDS.sleep(plan.changeInterval().toNanos());
    }
    awaitAll(fleet, version);
    return sample(name, meter.histogram(), fleet.bytes() - bytesBefore);
  }

  private SpreadSample sample(String name, Histogram micros, long bytes) {
    return new SpreadSample(
        name,
        plan.changes(),
        micros.getTotalCount(),
        micros.getValueAtPercentile(P50) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(P99) / MICROS_PER_MILLI,
        micros.getMaxValue() / MICROS_PER_MILLI,
        2.0 * bytes / plan.nodes() / plan.changes());
  }

  private CommitSample commits(HollowFleet fleet, int operators) throws Exception {
    AtomicInteger accepted = new AtomicInteger();
    AtomicInteger conflicts = new AtomicInteger();
    long start = System.nanoTime();
    long end = start + plan.commitTime().toNanos();
    List<Thread> threads = new ArrayList<>();
    for (int operator = 0; operator < operators; operator++) {
      ConfigurationModule module = fleet.living().get(operator).module();
      Thread thread = new Thread(() -> commitUntil(end, module, accepted, conflicts), "operator");
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
    awaitAll(fleet, fleet.living().get(0).module().version());
    return new CommitSample(operators, accepted.get() / seconds, conflicts.get() / seconds);
  }

  private void commitUntil(
      long endNanos, ConfigurationModule module, AtomicInteger accepted, AtomicInteger conflicts) {
    while (System.nanoTime() - endNanos < 0) {
      try {
        change(module).toCompletableFuture().join();
        accepted.incrementAndGet();
      } catch (CompletionException e) {
        conflicts.incrementAndGet();
      }
    }
  }

  private CompletionStage<CommitResult> change(ConfigurationModule module) {
    int number = changeNumber.incrementAndGet();
    String tenant = "tenant-" + number % plan.tenants();
    return propose(module, List.of(tenant(tenant, 100 + number)));
  }

  private static CompletionStage<CommitResult> propose(
      ConfigurationModule module, List<ConfigurationRecord> records) {
    return module.propose(
        new ProposedChange(
            UUID.randomUUID().toString(),
            "experiment",
            "UPDATE tenants SET requests_per_second = 101 WHERE tenant = 'tenant-1'",
            OptionalLong.empty(),
            image -> new PlannedChange(records, List.of())));
  }

  private static TenantRecord tenant(String name, double requestsPerSecond) {
    return new TenantRecord(new TenantName(name), requestsPerSecond, 10_000, 100, 100, 1);
  }

  private HollowNode anyLiving(HollowFleet fleet) {
    List<HollowNode> living = fleet.living();
    return living.get(random.nextInt(living.size()));
  }

  private void killSome(HollowFleet fleet) throws Exception {
    int count = (int) Math.round(plan.deadShare() * plan.nodes());
    for (int index = 0; index < count; index++) {
      anyLiving(fleet).kill();
    }
  }

  private static void awaitAll(HollowFleet fleet, long version) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_SECONDS);
    for (HollowNode node : fleet.living()) {
      while (!node.module().isLoaded() || node.module().version() < version) {
        if (System.nanoTime() - deadline > 0) {
          throw new IllegalStateException(node.id() + " did not reach version " + version);
        }
        sleepBriefly();
      }
    }
  }

  private static void sleepBriefly() {
    try {
      TimeUnit.MILLISECONDS.sleep(10);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  private void print(List<SpreadSample> spread, List<CommitSample> commits) {
    out.printf("%d nodes in %d zones, %d tenants%n", plan.nodes(), plan.zones(), plan.tenants());
    out.println("| case | changes | in force, p50 ms | p99 ms | max ms | bytes a node a change |");
    out.println("|---|---|---|---|---|---|");
    for (SpreadSample sample : spread) {
      out.printf(
          Locale.ROOT,
          "| %s | %d | %.1f | %.1f | %.1f | %.0f |%n",
          sample.name(),
          sample.changes(),
          sample.p50Millis(),
          sample.p99Millis(),
          sample.maxMillis(),
          sample.bytesPerNodeAndChange());
    }
    out.println();
    out.println("| operators at once | accepted/s | conflicts/s |");
    out.println("|---|---|---|");
    for (CommitSample sample : commits) {
      out.printf(
          Locale.ROOT,
          "| %d | %.1f | %.1f |%n",
          sample.operators(),
          sample.acceptedPerSecond(),
          sample.conflictsPerSecond());
    }
  }
}
