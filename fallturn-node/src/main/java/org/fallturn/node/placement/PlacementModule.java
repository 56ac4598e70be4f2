package org.fallturn.node.placement;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.LeadershipListener;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.node.duty.DutyThread;
import org.fallturn.node.http.HttpRouter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The duty of the pools that this node leads: placement, polls of the engines, role changes and
 * digests, all on one duty thread. Its methods may be called by any thread and never block.
 */
public final class PlacementModule implements LeadershipListener, AutoCloseable {
  /** Path of placement requests among nodes. */
  public static final String PLACEMENT_PATH = "/peer/placement";

  /** Path of progress batches among nodes. */
  public static final String PROGRESS_PATH = "/peer/placement-progress";

  private static final Logger LOG = LoggerFactory.getLogger(PlacementModule.class);
  private static final int RING_SIZE = 16_384;
  private static final Duration TICK = Duration.ofMillis(10);
  private static final int MAX_REQUEST_BYTES = 256 * 1024;
  private static final int MAX_BATCH_BYTES = 1024 * 1024;

  private final DutyThread<LeaderEvent> duty;

  /** A module that is not started yet. */
  public PlacementModule(LeaderParts parts) {
    LeaderDuty handler = new LeaderDuty(parts, this::offer);
    duty = new DutyThread<>("placement-leader", RING_SIZE, TICK, handler);
  }

  /** Adds the peer paths of the module. */
  public void addRoutes(HttpRouter router) {
    router.message(
        PLACEMENT_PATH,
        PoolPlacementRequest.class,
        MAX_REQUEST_BYTES,
        message -> place(message.pool(), message.mayQueue(), message.request()));
    router.message(PROGRESS_PATH, ProgressBatch.class, MAX_BATCH_BYTES, this::progress);
  }

  /** Starts the duty. */
  public void start() {
    duty.start();
  }

  /** Asks the pool's leader, when it is this node. */
  public CompletionStage<PlacementAnswer> place(
      PoolId pool, boolean mayQueue, PlacementRequest request) {
    CompletableFuture<PlacementAnswer> answer = new CompletableFuture<>();
    LeaderEvent event =
        new LeaderEvent.Submitted(pool, mayQueue, request, System.nanoTime(), answer);
    if (!duty.offer(event)) {
      answer.complete(new PlacementAnswer.NotLeader());
    }
    return answer;
  }

  /** Hands over progress. */
  public CompletionStage<ProgressAnswer> progress(ProgressBatch batch) {
    CompletableFuture<ProgressAnswer> answer = new CompletableFuture<>();
    if (!duty.offer(new LeaderEvent.Progressed(batch, answer))) {
      answer.complete(new ProgressAnswer(List.of()));
    }
    return answer;
  }

  @Override
  public void onAcquired(PoolId pool, Epoch epoch, List<EngineState> engines) {
    offer(new LeaderEvent.Acquired(pool, epoch, List.copyOf(engines)));
  }

  @Override
  public void onEngineFenced(PoolId pool, Epoch epoch, EngineState engine) {
    offer(new LeaderEvent.Fenced(pool, epoch, engine));
  }

  @Override
  public void onLost(PoolId pool, Epoch epoch) {
    offer(new LeaderEvent.Lost(pool, epoch));
  }

  private void offer(LeaderEvent event) {
    if (!duty.offer(event)) {
      LOG.warn("placement: Dropped {}, the ring is full.", event.getClass().getSimpleName());
    }
  }

  @Override
  public void close() {
    duty.close();
  }
}
