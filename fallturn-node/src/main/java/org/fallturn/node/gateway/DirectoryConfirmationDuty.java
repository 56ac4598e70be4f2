package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.HistoryLostException;
import org.fallturn.core.port.feed.RowFeed;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.streams.DirectoryContact;
import org.fallturn.node.duty.DutyLoop;
import org.fallturn.node.duty.FaultListener;

/**
 * The duty that confirms, on request, that this node's list of engines is complete, by a reading of
 * the store on a thread of its own. A confirmation covers all requests made before its reading
 * began; those made later share the next one. Reading does not wait for the watch of the table,
 * which may run for seconds, and leaves it running. Thread-safe.
 */
final class DirectoryConfirmationDuty implements DirectoryContact, AutoCloseable {

  private static final long PAUSE_AFTER_FAILURE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** How long to wait for a change that the store has and this node's follower has not. */
  private static final long MAX_DELIVERY_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long DELIVERY_CHECK_MILLIS = 5;

  private final RowFeed store;
  private final RowFollower follower;
  private final Consumer<StorePosition> onNewerChange;
  private final LongConsumer onConfirmed;
  private final FollowCounts counts;
  private final DutyLoop loop = new DutyLoop("confirm-engines", this::work);
  private final Object lock = new Object();
  private boolean requested;

  /**
   * Creates the duty; {@link #start} starts its thread.
   *
   * @param store reads the table of engines
   * @param follower follows the table and delivers its changes to the dispatch duty
   * @param onNewerChange called with the position of a change that is not delivered yet
   * @param onConfirmed called with the time at which a reading began once all changes before it are
   *     delivered
   */
  DirectoryConfirmationDuty(
      RowFeed store,
      RowFollower follower,
      Consumer<StorePosition> onNewerChange,
      LongConsumer onConfirmed,
      FollowCounts counts) {
    this.store = store;
    this.follower = follower;
    this.onNewerChange = onNewerChange;
    this.onConfirmed = onConfirmed;
    this.counts = counts;
  }

  void start(FaultListener faults) {
    loop.start(faults);
  }

  /** Requests a confirmation by a reading that begins after this call. */
  void request() {
    synchronized (lock) {
      requested = true;
      lock.notifyAll();
    }
  }

  @Override
  public long ageNanos(long nowNanos) {
    return follower.stalenessNanos(nowNanos);
  }

  @Override
  public long maxGapNanos() {
    return follower.maxContactGapNanos();
  }

  private void work() throws InterruptedException {
    while (true) {
      awaitRequest();
      boolean answered = confirm();
      TimeUnit.NANOSECONDS.sleep(
          answered ? follower.confirmationPauseNanos() : PAUSE_AFTER_FAILURE_NANOS);
    }
  }

  private void awaitRequest() throws InterruptedException {
    synchronized (lock) {
      while (!requested) {
        lock.wait();
      }
      requested = false;
    }
  }

  /** Returns whether the store answered; a lost history is up to the follower of the table. */
  private boolean confirm() throws InterruptedException {
    StorePosition before = follower.delivered();
    long begunNanos = System.nanoTime();
    try {
      FeedAnswer answer = store.changesAfter(before, Duration.ZERO, () -> true);
      counts.count(FollowCounts.Kind.STORE_CONFIRMATION);
      boolean stale = before.isAfter(answer.position());
      if (!stale && awaitDelivery(newestChange(answer, before))) {
        onConfirmed.accept(begunNanos);
      }
      return true;
    } catch (StoreException | HistoryLostException e) {
      counts.count(FollowCounts.Kind.STORE_FAILED);
      return false;
    }
  }

  private static StorePosition newestChange(FeedAnswer answer, StorePosition before) {
    return answer.rows().stream().map(FeedRow::position).reduce(before, StorePosition::max);
  }

  private boolean awaitDelivery(StorePosition newest) throws InterruptedException {
    if (!newest.isAfter(follower.delivered())) {
      return true;
    }
    onNewerChange.accept(newest);
    long begunNanos = System.nanoTime();
    while (newest.isAfter(follower.delivered())) {
      if (System.nanoTime() - begunNanos >= MAX_DELIVERY_NANOS) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(DELIVERY_CHECK_MILLIS);
    }
    return true;
  }

  @Override
  public void close() {
    loop.close();
  }
}
