package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
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
import org.junit.jupiter.api.Test;

/**
 * Checks when the follower of a table calls the store and when it asks other nodes: it must miss no
 * change, and must not call the store more often than needed.
 */
class RowFollowerTest {

  private static final int SCRIPT_LENGTH = 4;

  private static final NetworkAddress PEER = new NetworkAddress("127.0.0.1", 7660);

  private final FollowCounts counts = new FollowCounts();
  private final List<String> steps = new CopyOnWriteArrayList<>();
  private final CountDownLatch done = new CountDownLatch(1);

  /** A table whose second and third watch return a change, and which does not change later. */
  private final class ScriptedFeed implements RowFeed {

    private int calls;

    @Override
    public FeedAnswer snapshot() {
      steps.add("whole");
      return new FeedAnswer(List.of(new FeedRow("a", at(1), "", false)), at(1));
    }

    @Override
    public FeedAnswer changesAfter(
        StorePosition after, Duration wait, BooleanSupplier stillWanted) {
      calls++;
      if (calls > SCRIPT_LENGTH) {
        awaitForever();
      }
      steps.add("changes within " + wait.toSeconds());
      boolean changes = calls == 2 || calls == 3;
      return changes
          ? new FeedAnswer(List.of(new FeedRow("a", at(calls), "", false)), at(calls))
          : new FeedAnswer(List.of(), after);
    }

    private void awaitForever() {
      done.countDown();
      try {
        new CountDownLatch(1).await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static RowFollower.Listener ignoringListener() {
    return new RowFollower.Listener() {
      @Override
      public void onRows(FeedTracker tracker) {}

      @Override
      public void onReachable(boolean reachable) {}
    };
  }

  private static RowFollower.Times times(Duration longestWait) {
    return new RowFollower.Times(
        Duration.ZERO, FollowBounds.of(longestWait, longestWait), new ChangeSignal());
  }

  /** Other nodes that do not have the table. */
  private static final class PeersWithoutTheTable implements PeerRows {
    @Override
    public FeedAnswer askAny() throws StoreException {
      throw new StoreException("nobody knows", false, null);
    }

    @Override
    public FeedAnswer ask(NetworkAddress peer) throws StoreException {
      return askAny();
    }
  }

  private RowFollower follower(RowFeed feed, PeerRows peers, StubReports reports, Duration bound) {
    return follower(feed, peers, reports, times(bound));
  }

  private RowFollower follower(
      RowFeed feed, PeerRows peers, StubReports reports, RowFollower.Times times) {
    return new RowFollower(
        "t",
        new RowFollower.Sources(feed, peers, reports),
        ignoringListener(),
        new DecisionLog(new GatewayMetrics()),
        counts,
        times);
  }

  private static StorePosition at(long version) {
    return new StorePosition(1, version);
  }

  @Test
  void changesInABurstAreReadTogetherAfterAPause() throws Exception {
    RowFeed feed = new ScriptedFeed();
    RowFollower.Times times =
        new RowFollower.Times(
            Duration.ofSeconds(1),
            FollowBounds.of(Duration.ofSeconds(5), Duration.ofSeconds(5)),
            (millis, until) -> steps.add("pause of " + millis));
    try (RowFollower follower =
        follower(
            feed, new PeersWithoutTheTable(), new StubReports(WatchOrder.ofOne(false)), times)) {
      follower.start();
      assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(List.copyOf(steps).subList(0, 7))
        .containsExactly(
            "whole",
            "changes within 5",
            "changes within 5",
            "pause of 250",
            "changes within 5",
            "pause of 500",
            "changes within 5");
  }

  /** Reports of other nodes that a test sets. */
  private static final class StubReports implements RowFollower.PeerReports {
    private final AtomicLong newest = new AtomicLong();
    private final WatchOrder order;
    private volatile boolean confirmed;

    StubReports(WatchOrder order) {
      this.order = order;
    }

    @Override
    public StorePosition newestChange() {
      return at(newest.get());
    }

    @Override
    public long sinceConfirmedNanos() {
      return confirmed ? 0 : Long.MAX_VALUE;
    }

    @Override
    public WatchOrder order() {
      return order;
    }

    @Override
    public void onConfirmed(FeedAnswer answer) {}
  }

  /** The watch order of a node of the given rank in a fleet of nine. */
  private static WatchOrder ranked(int rank) {
    return new WatchOrder(rank, 9, false, true, List.of(PEER, PEER));
  }

  /** A table whose watch returns nothing, so that only a whole read shows its change. */
  private final class SilentFeed implements RowFeed {
    private final StubReports reports;
    private volatile long version = 1;

    SilentFeed(StubReports reports) {
      this.reports = reports;
    }

    @Override
    public FeedAnswer snapshot() {
      steps.add("whole " + version);
      if (version == 2) {
        done.countDown();
      }
      return new FeedAnswer(List.of(new FeedRow("a", at(version), "", false)), at(version));
    }

    @Override
    public FeedAnswer changesAfter(
        StorePosition after, Duration wait, BooleanSupplier stillWanted) {
      steps.add("watch for " + wait.toSeconds());
      version = 2;
      reports.newest.set(2);
      while (stillWanted.getAsBoolean()) {
        Thread.onSpinWait();
      }
      return new FeedAnswer(List.of(), after);
    }
  }

  @Test
  void watchThatMissesAChangeSeenByOthersIsEndedAndTheTableIsReadWhole() throws Exception {
    StubReports reports = new StubReports(ranked(1));
    reports.confirmed = true;
    RowFeed feed = new SilentFeed(reports);
    try (RowFollower follower =
        follower(feed, new PeersWithoutTheTable(), reports, Duration.ofSeconds(5))) {
      follower.start();
      assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(List.copyOf(steps).subList(0, 3))
        .containsExactly("whole 1", "watch for 30", "whole 2");
  }

  @Test
  void silentWatchEndsAtItsOwnLimitOnceOtherNodesNoLongerConfirm() throws Exception {
    StubReports reports = new StubReports(ranked(1));
    reports.confirmed = true;
    RowFeed feed =
        new RowFeed() {
          @Override
          public FeedAnswer snapshot() {
            steps.add("whole");
            return new FeedAnswer(List.of(), at(1));
          }

          @Override
          public FeedAnswer changesAfter(
              StorePosition after, Duration wait, BooleanSupplier stillWanted) {
            steps.add("watch");
            assertThat(stillWanted.getAsBoolean()).isTrue();
            reports.confirmed = false;
            while (stillWanted.getAsBoolean()) {
              Thread.onSpinWait();
            }
            done.countDown();
            return new FeedAnswer(List.of(), after);
          }
        };
    try (RowFollower follower =
        follower(feed, new PeersWithoutTheTable(), reports, Duration.ofMillis(50))) {
      follower.start();
      assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(List.copyOf(steps).subList(0, 2)).containsExactly("whole", "watch");
  }

  /** Nodes that have one change more than the store returns to this node. */
  private final class PeersWithANewerRow implements PeerRows {
    @Override
    public FeedAnswer askAny() {
      return ask(PEER);
    }

    @Override
    public FeedAnswer ask(NetworkAddress peer) {
      steps.add("asked");
      done.countDown();
      return new FeedAnswer(List.of(new FeedRow("a", at(2), "", false)), at(2));
    }
  }

  @Test
  void nodeThatDoesNotWatchAsksOthersForAChangeThatTheyReport() throws Exception {
    StubReports reports = new StubReports(ranked(5));
    reports.confirmed = true;
    try (RowFollower follower =
        follower(new ScriptedFeed(), new PeersWithANewerRow(), reports, Duration.ofSeconds(5))) {
      follower.start();
      await().atMost(Duration.ofSeconds(20)).until(() -> steps.contains("whole"));
      reports.newest.set(2);
      assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(steps).containsExactly("whole", "asked");
    assertThat(counts.of(FollowCounts.Kind.STORE_WHOLE)).isOne();
  }

  @Test
  void reportedChangeThatNoOtherNodeHasIsReadFromTheStoreOnce() throws Exception {
    StubReports reports = new StubReports(ranked(5));
    reports.confirmed = true;
    AtomicLong watches = new AtomicLong();
    RowFeed feed =
        new RowFeed() {
          @Override
          public FeedAnswer snapshot() {
            reports.newest.set(9);
            return new FeedAnswer(List.of(), at(1), 1);
          }

          @Override
          public FeedAnswer changesAfter(
              StorePosition after, Duration wait, BooleanSupplier stillWanted) {
            watches.incrementAndGet();
            reports.newest.set(10);
            return new FeedAnswer(List.of(), after, 2);
          }
        };
    PeerRows peers = new PeersWithoutTheTable();
    try (RowFollower follower = follower(feed, peers, reports, Duration.ofSeconds(5))) {
      follower.start();
      await().atMost(Duration.ofSeconds(20)).until(() -> watches.get() == 2);
      await()
          .during(Duration.ofMillis(200))
          .atMost(Duration.ofSeconds(20))
          .until(() -> watches.get() == 2);
    }
  }

  /**
   * The store answers within its timeout, but later than a watch may be behind. Each call of a node
   * that lacked a change was ended before its answer came, because the node lacked the change.
   */
  @Test
  void callOfANodeThatIsBehindIsNotEndedBeforeItsAnswer() throws Exception {
    StubReports reports = new StubReports(ranked(5));
    reports.confirmed = true;
    RowFeed feed =
        new RowFeed() {
          @Override
          public FeedAnswer snapshot() {
            reports.newest.set(9);
            return new FeedAnswer(List.of(), at(1), 1);
          }

          @Override
          public FeedAnswer changesAfter(
              StorePosition after, Duration wait, BooleanSupplier stillWanted) {
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(600);
            while (System.nanoTime() - until < 0) {
              if (!stillWanted.getAsBoolean()) {
                steps.add("ended");
                return new FeedAnswer(List.of(), after);
              }
            }
            done.countDown();
            return new FeedAnswer(List.of(new FeedRow("a", at(9), "", false)), at(9), 2);
          }
        };
    try (RowFollower follower =
        follower(feed, new PeersWithoutTheTable(), reports, Duration.ofSeconds(5))) {
      follower.start();
      assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(steps).doesNotContain("ended");
  }
}
