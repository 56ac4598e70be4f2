package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.following.FollowBounds;
import org.fallturn.core.following.WatchOrder;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.FeedTracker;
import org.fallturn.core.port.feed.RowFeed;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.node.duty.FaultListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a list of engines that is taken for confirmed though it is not: by a reading that
 * began before the request, before the change that it showed was delivered, or that failed.
 */
class DirectoryConfirmationDutyTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final Duration BOUND = Duration.ofSeconds(60);

  private final GatedStore watched = new GatedStore();
  private final GatedStore read = new GatedStore();
  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private final List<Long> confirmations = new CopyOnWriteArrayList<>();
  private final FollowCounts counts = new FollowCounts();
  private RowFollower follower;
  private DirectoryConfirmationDuty duty;

  /** A store that answers each call for changes once the test lets it. */
  private static final class GatedStore implements RowFeed {

    private final Semaphore answers = new Semaphore(0);
    private final Semaphore calls = new Semaphore(0);
    private volatile long version = 1;
    private volatile boolean fails;

    @Override
    public FeedAnswer snapshot() {
      return new FeedAnswer(List.of(row(1)), at(1));
    }

    @Override
    public FeedAnswer changesAfter(StorePosition after, Duration wait, BooleanSupplier stillWanted)
        throws StoreException {
      calls.release();
      answers.acquireUninterruptibly();
      if (fails) {
        throw new StoreException("away", false, null);
      }
      List<FeedRow> rows = new ArrayList<>();
      if (at(version).isAfter(after)) {
        rows.add(row(version));
      }
      return new FeedAnswer(rows, at(version), 1);
    }

    void awaitCall() throws InterruptedException {
      assertThat(calls.tryAcquire(LONGEST.toSeconds(), TimeUnit.SECONDS)).isTrue();
    }

    void answer() {
      answers.release();
    }
  }

  private static StorePosition at(long version) {
    return new StorePosition(1, version);
  }

  private static FeedRow row(long version) {
    return new FeedRow("e-" + version, at(version), "", false);
  }

  /** A node that knows no other. */
  private static final class NoReports implements RowFollower.PeerReports {

    @Override
    public StorePosition newestChange() {
      return StorePosition.NONE;
    }

    @Override
    public long sinceConfirmedNanos() {
      return Long.MAX_VALUE;
    }

    @Override
    public WatchOrder order() {
      return WatchOrder.ofOne(false);
    }

    @Override
    public void onConfirmed(FeedAnswer answer) {}
  }

  private static final class NoPeers implements PeerRows {

    @Override
    public FeedAnswer askAny() throws StoreException {
      throw new StoreException("nobody knows", false, null);
    }

    @Override
    public FeedAnswer ask(NetworkAddress peer) throws StoreException {
      return askAny();
    }
  }

  @BeforeEach
  void start() throws Exception {
    RowFollower.Listener listener =
        new RowFollower.Listener() {
          @Override
          public void onRows(FeedTracker tracker) {
            events.add("rows at " + tracker.position().version());
          }

          @Override
          public void onReachable(boolean reachable) {}
        };
    follower =
        new RowFollower(
            "engines",
            new RowFollower.Sources(watched, new NoPeers(), new NoReports()),
            listener,
            new DecisionLog(new GatewayMetrics()),
            counts,
            new RowFollower.Times(
                Duration.ZERO, FollowBounds.of(BOUND, BOUND), new ChangeSignal()));
    duty =
        new DirectoryConfirmationDuty(
            read,
            follower,
            change -> events.add("newer " + change.version()),
            begunNanos -> {
              confirmations.add(begunNanos);
              events.add("confirmed");
            },
            counts);
    follower.start();
    watched.awaitCall();
    duty.start(FaultListener.LOG_ONLY);
    assertThat(nextEvent()).isEqualTo("rows at 1");
  }

  @AfterEach
  void stop() {
    duty.close();
    follower.close();
    read.answers.release(1_000);
    watched.answers.release(1_000);
  }

  private String nextEvent() throws InterruptedException {
    return events.poll(LONGEST.toSeconds(), TimeUnit.SECONDS);
  }

  @Test
  void requestThatComesDuringAReadingIsConfirmedByTheNextOne() throws Exception {
    duty.request();
    read.awaitCall();
    long requestedNanos = System.nanoTime();
    duty.request();
    duty.request();
    read.answer();
    assertThat(nextEvent()).isEqualTo("confirmed");
    read.awaitCall();
    read.answer();
    assertThat(nextEvent()).isEqualTo("confirmed");
    assertThat(confirmations.get(0)).isLessThan(requestedNanos);
    assertThat(confirmations.get(1)).isGreaterThanOrEqualTo(requestedNanos);
    assertThat(counts.of(FollowCounts.Kind.STORE_CONFIRMATION)).isEqualTo(2);
  }

  @Test
  void changeIsDeliveredBeforeTheReadingThatShowedItCountsAsAConfirmation() throws Exception {
    read.version = 2;
    watched.version = 2;
    duty.request();
    read.awaitCall();
    read.answer();
    assertThat(nextEvent()).isEqualTo("newer 2");
    assertThat(confirmations).isEmpty();
    watched.answer();
    assertThat(nextEvent()).isEqualTo("rows at 2");
    assertThat(nextEvent()).isEqualTo("confirmed");
  }

  @Test
  void failedReadingConfirmsNothing() throws Exception {
    read.fails = true;
    duty.request();
    read.awaitCall();
    read.answer();
    await().atMost(LONGEST).until(() -> counts.of(FollowCounts.Kind.STORE_FAILED) == 1);
    read.fails = false;
    duty.request();
    read.awaitCall();
    assertThat(confirmations).isEmpty();
    read.answer();
    assertThat(nextEvent()).isEqualTo("confirmed");
  }
}
