package org.fallturn.rehearsal.scale;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.placement.PlacementRequest;

/**
 * Asks every node of the process for placements at a rate and reports each placed request complete
 * a while later; no work reaches an engine.
 */
final class PlacementLoad {

  private static final int TENANTS = 410;
  private static final int PROMPT_TOKENS = 600;
  private static final int OUTPUT_TOKENS = 300;
  private static final long DEADLINE_MILLIS = 10_000;
  private static final long SERVICE_MILLIS = 1_500;
  private static final long PERIOD_MILLIS = 50;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final Map<String, HollowNode> nodes;
  private final ScheduledExecutorService scheduler =
      Executors.newScheduledThreadPool(2, PlacementLoad::daemon);
  private final Random random = new Random();
  private final AtomicLong placed = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();
  private volatile HollowMessages.Load load = new HollowMessages.Load(0, List.of());

  PlacementLoad(Map<String, HollowNode> nodes) {
    this.nodes = nodes;
    scheduler.scheduleAtFixedRate(
        this::askAll, PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "placement-load");
    thread.setDaemon(true);
    return thread;
  }

  HollowMessages.Done set(HollowMessages.Load next) {
    load = next;
    return new HollowMessages.Done(true);
  }

  HollowMessages.LoadResult takeResult() {
    double withoutLeader =
        nodes.values().stream().mapToDouble(PlacementLoad::placementsWithoutLeader).sum();
    return new HollowMessages.LoadResult(
        placed.getAndSet(0), refused.getAndSet(0), failed.getAndSet(0), withoutLeader);
  }

  private static double placementsWithoutLeader(HollowNode node) {
    return node.parts().metrics().counter("fallturn.placement.without_leader").count();
  }

  private void askAll() {
    HollowMessages.Load now = load;
    double chance = now.placementsPerSecond() * PERIOD_MILLIS / MILLIS_PER_SECOND;
    if (chance <= 0) {
      return;
    }
    for (HollowNode node : nodes.values()) {
      double left = chance;
      while (left > 0) {
        if (random.nextDouble() < left) {
          ask(node, now.models());
        }
        left -= 1;
      }
    }
  }

  private void ask(HollowNode node, List<String> models) {
    ModelName model = new ModelName(models.get(random.nextInt(models.size())));
    PlacementRequest request =
        new PlacementRequest(
            new RequestId(UUID.randomUUID().toString()),
            0,
            new TenantName("tenant-" + random.nextInt(TENANTS)),
            1,
            model,
            "",
            Urgency.NORMAL,
            PROMPT_TOKENS,
            List.of(random.nextLong(), random.nextLong(), random.nextLong()),
            OUTPUT_TOKENS,
            DEADLINE_MILLIS,
            Set.of());
    node.parts()
        .placement()
        .place(request)
        .whenComplete((answer, failure) -> onAnswer(node, request, answer, failure));
  }

  private void onAnswer(
      HollowNode node, PlacementRequest request, PlacementAnswer answer, Throwable failure) {
    if (failure != null) {
      failed.incrementAndGet();
    } else if (answer instanceof PlacementAnswer.Placed placement) {
      placed.incrementAndGet();
      PlacementProgress done =
          new PlacementProgress(
              placement.pool(),
              request.requestId(),
              request.attempt(),
              PlacementProgress.Stage.COMPLETED,
              OUTPUT_TOKENS);
      scheduler.schedule(
          () -> node.parts().placement().report(done), SERVICE_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      refused.incrementAndGet();
    }
  }
}
