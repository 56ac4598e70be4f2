package org.fallturn.rehearsal.experiment;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.placement.EngineListing;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementDecision;
import org.fallturn.core.placement.PlacementParameters;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.placement.PlacementProgress.Stage;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.placement.PoolScheduler;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderNumber;

/**
 * Drives one scheduler in virtual time with requests of 410 tenants that share 200 prefixes, and
 * with streams that end as said. Not thread-safe.
 */
final class SchedulerDrive {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double PERCENT = 100;
  private static final int WARM_UP = 10_000;
  private static final int REQUESTS = 30_000;
  private static final int TENANTS = 410;
  private static final int PREFIXES = 200;
  private static final int PREFIX_BLOCKS = 60;
  private static final int OWN_BLOCKS = 20;
  private static final int PROMPT_TOKENS = 1290;
  private static final int OUTPUT_TOKENS = 100;
  private static final int DEADLINE_MILLIS = 10_000;
  private static final int ENGINES_PER_PREFILL = 3;
  private static final double STREAM_SECONDS = 4;
  private static final long PREFILL_NANOS = 80_000_000;
  private static final ZoneName ZONE = new ZoneName("zone");
  private static final ModelName MODEL = new ModelName("model");
  private static final PoolId POOL = new PoolId(ZONE, MODEL, 0);

  private final int engines;
  private final double load;
  private final Random random;
  private final PoolScheduler scheduler =
      new PoolScheduler(POOL, new Epoch(1), PlacementParameters.defaults(), 0);
  private final PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparingLong(End::nanos));
  private final List<List<Long>> prefixes = new ArrayList<>();
  private int decodeEngines;
  private int decisions;
  private int placed;
  private int mostQueued;

  SchedulerDrive(int engines, double load, long seed) {
    this.engines = engines;
    this.load = load;
    this.random = new Random(seed);
    for (int index = 0; index < PREFIXES; index++) {
      prefixes.add(blocks(PREFIX_BLOCKS));
    }
    startEngines();
  }

  private void startEngines() {
    List<EngineListing> listing = new ArrayList<>();
    for (int index = 0; index < engines; index++) {
      NetworkAddress address = new NetworkAddress("127.0.0.1", 1 + index);
      listing.add(new EngineListing(new EngineId("e" + index), ZONE, address, false, false));
    }
    scheduler.onListing(listing, 0);
    for (int index = 0; index < engines; index++) {
      boolean prefill = index % ENGINES_PER_PREFILL == 0;
      decodeEngines += prefill ? 0 : 1;
      EngineRole role = prefill ? EngineRole.PREFILL : EngineRole.DECODE;
      scheduler.onEngineState(serving(listing.get(index).engine(), role), 0);
    }
  }

  private static EngineState serving(EngineId engine, EngineRole role) {
    return new EngineState(
        engine,
        1,
        OrderNumber.NONE,
        role,
        MODEL,
        "1",
        Map.of(),
        EngineState.Activity.SERVING,
        false,
        0);
  }

  SchedulerSpeed run() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    int slots = decodeEngines * PlacementParameters.defaults().decodeSlots();
    double rate = load * slots / STREAM_SECONDS;
    long now = 0;
    long startCpu = 0;
    for (int index = 0; index < REQUESTS; index++) {
      if (index == WARM_UP) {
        startCpu = threads.getCurrentThreadCpuTime();
        decisions = 0;
        placed = 0;
      }
      now += (long) (-Math.log(1 - random.nextDouble()) / rate * NANOS_PER_SECOND);
      endUntil(now);
      scheduler.submit(request(index), now);
      count(now);
      mostQueued = Math.max(mostQueued, scheduler.queuedCount());
    }
    double seconds = (threads.getCurrentThreadCpuTime() - startCpu) / NANOS_PER_SECOND;
    return new SchedulerSpeed(
        engines, load, decisions / seconds, PERCENT * placed / decisions, mostQueued);
  }

  private void endUntil(long now) {
    while (!ends.isEmpty() && ends.peek().nanos() <= now) {
      End end = ends.poll();
      scheduler.onProgress(
          new PlacementProgress(POOL, end.requestId(), 0, end.stage(), OUTPUT_TOKENS), end.nanos());
      count(end.nanos());
    }
  }

  private void count(long now) {
    for (PlacementDecision decision : scheduler.takeDecisions()) {
      decisions++;
      if (decision.answer() instanceof PlacementAnswer.Placed) {
        placed++;
        long streamNanos = (long) (STREAM_SECONDS * NANOS_PER_SECOND * (0.5 + random.nextDouble()));
        ends.add(new End(now + PREFILL_NANOS, decision.requestId(), Stage.PREFILLED));
        ends.add(new End(now + streamNanos, decision.requestId(), Stage.COMPLETED));
      }
    }
  }

  private PlacementRequest request(int index) {
    List<Long> hashes = new ArrayList<>(prefixes.get(random.nextInt(PREFIXES)));
    hashes.addAll(blocks(OWN_BLOCKS));
    Urgency[] urgencies = Urgency.values();
    return new PlacementRequest(
        new RequestId("r" + index),
        0,
        new TenantName("t" + random.nextInt(TENANTS)),
        1,
        MODEL,
        "",
        urgencies[random.nextInt(urgencies.length)],
        PROMPT_TOKENS,
        hashes,
        OUTPUT_TOKENS,
        DEADLINE_MILLIS,
        Set.of());
  }

  private List<Long> blocks(int count) {
    List<Long> blocks = new ArrayList<>(count);
    for (int index = 0; index < count; index++) {
      blocks.add(random.nextLong());
    }
    return blocks;
  }

  /** A part of a placed request that ends. */
  private record End(long nanos, RequestId requestId, Stage stage) {}
}
