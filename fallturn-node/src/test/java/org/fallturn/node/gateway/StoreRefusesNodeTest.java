package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.following.FollowBounds;
import org.fallturn.core.following.WatchOrder;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.FeedTracker;
import org.fallturn.core.port.feed.RowFeed;
import org.fallturn.core.port.table.StoreException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A store turned a third of the nodes away for nine seconds and served the operator and the other
 * nodes: keys were taken away meanwhile, and the nodes that were turned away went on serving them,
 * since they asked others only while they knew nothing at all.
 */
class StoreRefusesNodeTest {

  private static final Duration LONGEST = Duration.ofSeconds(10);
  private static final Duration KEY_LIFETIME = Duration.ofMillis(300);

  private final AtomicBoolean turnedAway = new AtomicBoolean();
  private final AtomicBoolean othersTell = new AtomicBoolean(true);
  private final AtomicLong newestChange = new AtomicLong(1);
  private final AtomicLong believed = new AtomicLong();
  private final DecisionLog log = new DecisionLog(new GatewayMetrics());
  private final RowFollower follower =
      new RowFollower(
          "routing",
          new RowFollower.Sources(new Store(), new Peer(), new PeerReports()),
          new Believer(),
          log,
          new FollowCounts(),
          new RowFollower.Times(
              Duration.ZERO,
              FollowBounds.of(Duration.ofMillis(50), Duration.ofMillis(50)),
              new ChangeSignal()));

  private static FeedAnswer table(long version) {
    return new FeedAnswer(List.of(new FeedRow("config", version, "", false)), version);
  }

  private final class Store implements RowFeed {

    @Override
    public FeedAnswer snapshot() throws StoreException {
      refuseWhenTurnedAway();
      return table(1);
    }

    @Override
    public FeedAnswer changesAfter(long after, Duration wait, BooleanSupplier stillWanted)
        throws StoreException {
      refuseWhenTurnedAway();
      return new FeedAnswer(List.of(), after);
    }

    private void refuseWhenTurnedAway() throws StoreException {
      if (turnedAway.get()) {
        throw new StoreException("busy", false, null);
      }
    }
  }

  /** A node that the store serves. */
  private final class Peer implements PeerRows {

    @Override
    public FeedAnswer askAny() {
      return table(newestChange.get());
    }

    @Override
    public FeedAnswer ask(NetworkAddress peer) {
      return askAny();
    }
  }

  private final class Believer implements RowFollower.Listener {

    @Override
    public void onRows(FeedTracker tracker) {
      believed.set(tracker.position());
    }

    @Override
    public void onReachable(boolean reachable) {}
  }

  private final class PeerReports implements RowFollower.PeerReports {

    @Override
    public long newestChange() {
      return newestChange.get();
    }

    @Override
    public long sinceConfirmedNanos() {
      return othersTell.get() ? 0 : Long.MAX_VALUE;
    }

    @Override
    public WatchOrder order() {
      return new WatchOrder(0, 9, false, true, List.of(new NetworkAddress("127.0.0.1", 7660)));
    }

    @Override
    public void onConfirmed(long storeMillis) {}
  }

  @AfterEach
  void stop() {
    follower.close();
  }

  @Test
  void learnsFromAnotherNodeWhatTheStoreKeepsFromIt() {
    follower.start();
    await().atMost(LONGEST).until(() -> believed.get() == 1);
    turnedAway.set(true);
    newestChange.set(7);
    await().atMost(LONGEST).until(() -> believed.get() == 7);
    assertThat(follower.knowsOfNewerChange()).isFalse();
  }

  @Test
  void keysThatFailClosedAreNotBelievedOnceNobodyCanConfirmThem() {
    GatewayState state = new GatewayState(null, 0, Optional.of(KEY_LIFETIME));
    state.setRouting(follower);
    follower.start();
    await().atMost(LONGEST).until(() -> believed.get() == 1);
    await().atMost(LONGEST).until(() -> state.keysAreTrusted(System.nanoTime()));
    turnedAway.set(true);
    othersTell.set(false);
    await().atMost(LONGEST).until(() -> !state.keysAreTrusted(System.nanoTime()));
    turnedAway.set(false);
    await().atMost(LONGEST).until(() -> state.keysAreTrusted(System.nanoTime()));
  }

  @Test
  void keysThatFailOpenStayBelieved() {
    GatewayState state = new GatewayState(null, 0, Optional.empty());
    state.setRouting(follower);
    long muchLater = System.nanoTime() + TimeUnit.HOURS.toNanos(1);
    assertThat(state.keysAreTrusted(muchLater)).isTrue();
  }
}
