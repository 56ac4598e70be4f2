package org.fallturn.node.placement;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.placement.PlacementService;
import org.fallturn.node.duty.DutyThread;

/**
 * Finds a place for this node's requests: asks the leader of the nearest pool, spills to other
 * pools with room, and places without a leader when that is silent. Thread-safe, never blocks; the
 * work is done on its own duty thread.
 */
public final class PlacementClient implements PlacementService, AutoCloseable {
  private static final int RING_SIZE = 16_384;
  private static final Duration TICK = Duration.ofMillis(10);
  private static final long OVERLOAD_RETRY_MILLIS = 1_000;

  private final DutyThread<ClientEvent> duty;
  private final ClientDuty handler;

  /** A client that is not started yet. */
  public PlacementClient(ClientParts parts) {
    handler = new ClientDuty(parts, this::offer);
    duty = new DutyThread<>("placement-client", RING_SIZE, TICK, handler);
  }

  /** Starts the duty. */
  public void start() {
    duty.start();
  }

  @Override
  public CompletionStage<PlacementAnswer> place(PlacementRequest request) {
    PendingPlacement pending = new PendingPlacement(request, System.nanoTime());
    if (!duty.offer(new ClientEvent.Asked(pending))) {
      return CompletableFuture.completedFuture(
          new PlacementAnswer.Refused(
              ErrorKind.NO_CAPACITY, "this node has too much to place", OVERLOAD_RETRY_MILLIS));
    }
    return pending.answer;
  }

  @Override
  public void report(PlacementProgress progress) {
    offer(new ClientEvent.Reported(progress));
  }

  private void offer(ClientEvent event) {
    if (!duty.offer(event)) {
      handler.countDroppedEvent();
    }
  }

  @Override
  public void close() {
    duty.close();
  }
}
