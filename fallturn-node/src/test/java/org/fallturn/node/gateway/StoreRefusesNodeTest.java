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
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.port.table.StoreException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against nodes that go on accepting revoked API keys while the store rejects their
 * requests. It happened when a store rejected a third of the nodes for nine seconds and served the
 * operator and the other nodes: the rejected nodes missed the revocations of that time, since they
 * asked other nodes only while they had no rows at all.
 */
class StoreRefusesNodeTest {

  private static final Duration MAX_WAIT = Duration.ofSeconds(10);
  private static final Duration KEY_LIFETIME = Duration.ofMillis(300);

  private final AtomicBoolean rejecting = new AtomicBoolean();
  private final AtomicBoolean peersConfirm = new AtomicBoolean(true);
  private final AtomicLong newestChange = new AtomicLong(1);
  private final AtomicLong deliveredPosition = new AtomicLong();
  private final DecisionLog log = new DecisionLog(new GatewayMetrics());
  private final RowFollower follower =
      new RowFollower(
          "routing",
          new RowFollower.Sources(new Store(), new Peer(), new StubReports()),
          new RecordingListener(),
          log,
          new FollowCounts(),
          new RowFollower.Times(
              Duration.ZERO,
              FollowBounds.of(Duration.ofMillis(50), Duration.ofMillis(50)),
              new ChangeSignal()));

  private static FeedAnswer table(long version) {
    return new FeedAnswer(List.of(new FeedRow("config", at(version), "", false)), at(version));
  }

  /** A store that rejects all calls while a test says so. */
  private final class Store implements RowFeed {

    @Override
    public FeedAnswer snapshot() throws StoreException {
      failWhenRejecting();
      return table(1);
    }

    @Override
    public FeedAnswer changesAfter(StorePosition after, Duration wait, BooleanSupplier stillWanted)
        throws StoreException {
      failWhenRejecting();
      return new FeedAnswer(List.of(), after);
    }

    private void failWhenRejecting() throws StoreException {
      if (rejecting.get()) {
        throw new StoreException("busy", false, null);
      }
    }
  }

  /** Another node, which the store serves. */
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

  /** Records the position of the rows that the follower delivered last. */
  private final class RecordingListener implements RowFollower.Listener {

    @Override
    public void onRows(FeedTracker tracker) {
      deliveredPosition.set(tracker.position().version());
    }

    @Override
    public void onReachable(boolean reachable) {}
  }

  /**
   * Reports of other nodes: the newest change that they have seen, and, while a test says so, that
   * the store has just answered them.
   */
  private final class StubReports implements RowFollower.PeerReports {

    @Override
    public StorePosition newestChange() {
      return at(newestChange.get());
    }

    @Override
    public long sinceConfirmedNanos() {
      return peersConfirm.get() ? 0 : Long.MAX_VALUE;
    }

    @Override
    public WatchOrder order() {
      return new WatchOrder(0, 9, false, true, List.of(new NetworkAddress("127.0.0.1", 7660)));
    }

    @Override
    public void onConfirmed(FeedAnswer answer) {}
  }

  @AfterEach
  void stop() {
    follower.close();
  }

  private static StorePosition at(long version) {
    return new StorePosition(1, version);
  }

  @Test
  void readsFromAnotherNodeWhileTheStoreRejectsIt() {
    follower.start();
    await().atMost(MAX_WAIT).until(() -> deliveredPosition.get() == 1);
    rejecting.set(true);
    newestChange.set(7);
    await().atMost(MAX_WAIT).until(() -> deliveredPosition.get() == 7);
    assertThat(follower.knowsOfNewerChange()).isFalse();
  }

  @Test
  void keysThatFailClosedAreNotTrustedOnceNothingConfirmsThem() {
    GatewayState state = new GatewayState(null, new BodyMemory(0), Optional.of(KEY_LIFETIME));
    state.setFollower(follower, () -> {});
    follower.start();
    await().atMost(MAX_WAIT).until(() -> deliveredPosition.get() == 1);
    await().atMost(MAX_WAIT).until(() -> state.keysAreTrusted(System.nanoTime()));
    rejecting.set(true);
    peersConfirm.set(false);
    await().atMost(MAX_WAIT).until(() -> !state.keysAreTrusted(System.nanoTime()));
    rejecting.set(false);
    await().atMost(MAX_WAIT).until(() -> state.keysAreTrusted(System.nanoTime()));
  }

  @Test
  void keysThatFailOpenStayTrusted() {
    GatewayState state = new GatewayState(null, new BodyMemory(0), Optional.empty());
    state.setFollower(follower, () -> {});
    long muchLater = System.nanoTime() + TimeUnit.HOURS.toNanos(1);
    assertThat(state.keysAreTrusted(muchLater)).isTrue();
  }
}
