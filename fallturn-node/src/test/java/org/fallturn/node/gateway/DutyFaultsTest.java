package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.fallturn.core.dispatch.LoadDigest;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.following.FollowBounds;
import org.fallturn.core.following.WatchOrder;
import org.fallturn.core.peers.KnownVersions;
import org.fallturn.core.peers.MessageKind;
import org.fallturn.core.peers.PeerInfo;
import org.fallturn.core.peers.PeerMessage;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.FeedTracker;
import org.fallturn.core.port.feed.RowFeed;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.quarantine.QuarantineStore;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.scaling.ScaleAction;
import org.fallturn.core.stages.OrderLease;
import org.fallturn.core.stages.OrderLeaseReading;
import org.fallturn.core.stages.OrderLeaseRow;
import org.fallturn.core.stages.OrderLeaseStore;
import org.fallturn.core.stages.StageChange;
import org.fallturn.core.usage.UsageReport;
import org.fallturn.node.duty.FaultListener;
import org.fallturn.node.settings.GatewaySettings;
import org.fallturn.node.settings.SettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against duties that end silently. An {@link Error} in a duty's work, such as a class that
 * cannot be loaded, can end its thread without a line in the log: the node orders no stages, hears
 * no peers and follows no tables, but still reports that it is ready. Each duty must report the
 * fault and go on with the next work.
 */
class DutyFaultsTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final String SETTINGS =
      """
      [gateway]
      node_name = "gateway-1"
      zone = "zone-1"
      callers = "127.0.0.1:0"
      readiness = "127.0.0.1:0"
      peers = "127.0.0.1:0"

      [store]
      address = "127.0.0.1:1"
      """;

  private static final RequestFingerprint CONTENT = new RequestFingerprint(1, "ab");

  private final AtomicInteger calls = new AtomicInteger();
  private final List<String> faults = new CopyOnWriteArrayList<>();
  private final FaultListener listener = (duty, fault, decision) -> faults.add(duty);
  private final DecisionLog log = new DecisionLog(new GatewayMetrics());

  /** Throws an error at the first call only. */
  private void failFirstTime() {
    if (calls.incrementAndGet() == 1) {
      throw new NoClassDefFoundError("a/B");
    }
  }

  private void awaitContinues(String duty, Runnable trigger) {
    await()
        .atMost(TIMEOUT)
        .until(
            () -> {
              trigger.run();
              return calls.get() > 1;
            });
    assertThat(faults).containsExactly(duty);
  }

  /** A context with a lease in whose store the first read throws an error. */
  private DutyContext context() {
    OrderLeaseStore store =
        new OrderLeaseStore() {
          @Override
          public OrderLeaseReading read() throws StoreException {
            failFirstTime();
            throw new StoreException("not reachable", false, null);
          }

          @Override
          public Optional<StorePosition> write(OrderLeaseRow row, long expectedVersion) {
            return Optional.empty();
          }
        };
    OrderLease lease =
        new OrderLease(
            store, "node-1", settings().dispatchParameters().stages(), false, System::nanoTime);
    return new DutyContext(lease, "node-1", event -> {}, log);
  }

  private static GatewaySettings settings() {
    try {
      return GatewaySettings.from(GatewaySettings.reader().toml("test", SETTINGS).values());
    } catch (SettingsException e) {
      throw new AssertionError(e);
    }
  }

  private static StorePosition at(long version) {
    return new StorePosition(1, version);
  }

  @Test
  void stages() {
    ServingEngine engine =
        new ServingEngine(
            "e", "s", new NetworkAddress("127.0.0.1", 1), "z", 8, false, EngineStage.DECODE);
    try (StageDuty duty = new StageDuty(context(), null)) {
      duty.start(listener);
      awaitContinues("stages", () -> duty.offer(new StageChange(engine, EngineStage.PREFILL)));
    }
  }

  @Test
  void usage() {
    try (UsageDuty duty = new UsageDuty(context(), null, null)) {
      duty.start(listener);
      awaitContinues("usage", () -> duty.offer(new UsageReport(1, Map.of())));
    }
  }

  @Test
  void scaling() {
    try (ScaleDuty duty = new ScaleDuty(context(), null, null)) {
      duty.start(listener);
      awaitContinues(
          "scaling", () -> duty.offer(new ScaleAction.RecordInitialCounts("s", Map.of(), false)));
    }
  }

  @Test
  void quarantine() {
    QuarantineStore store =
        new QuarantineStore() {
          @Override
          public List<StoredContent> read() {
            return List.of();
          }

          @Override
          public void put(RequestFingerprint content) {
            failFirstTime();
          }

          @Override
          public void putSuspect(RequestFingerprint content, Set<String> engines) {}

          @Override
          public void remove(RequestFingerprint content) {}
        };
    try (QuarantineDuty duty = new QuarantineDuty(store, event -> {}, log)) {
      duty.start(listener);
      awaitContinues("quarantine", () -> duty.put(CONTENT));
    }
  }

  @Test
  void settingsAreTakenAgainAfterAFault(@TempDir Path directory) throws Exception {
    Path file = directory.resolve("settings.toml");
    Files.writeString(file, SETTINGS);
    Consumer<GatewaySettings> taken = settings -> failFirstTime();
    try (SettingsWatch watch = new SettingsWatch(file, taken, log)) {
      watch.start(listener);
      Files.writeString(file, SETTINGS + "\n");
      awaitContinues("settings", () -> {});
    }
  }

  @Test
  void peers() throws Exception {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    byte[] datagram = new PeerCodec().encode(message());
    DatagramChannel channel = DatagramChannel.open().bind(anyPort);
    try (PeerExchange exchange = new PeerExchange(channel, event -> failFirstTime());
        DatagramChannel sender = DatagramChannel.open().bind(anyPort)) {
      exchange.start(listener);
      InetSocketAddress target = (InetSocketAddress) channel.getLocalAddress();
      awaitContinues("peers", () -> send(sender, datagram, target));
    }
  }

  private static void send(DatagramChannel sender, byte[] datagram, InetSocketAddress target) {
    try {
      sender.send(ByteBuffer.wrap(datagram), target);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private static PeerMessage message() {
    PeerInfo peer = new PeerInfo(new NetworkAddress("127.0.0.1", 1), "zone-1", 1);
    LoadDigest load = new LoadDigest("edge-1", 1, 1, 1, "edge-1", Map.of(), List.of(), Map.of());
    return new PeerMessage(
        MessageKind.VIEW, peer, load, List.of(), List.of(), List.of(), KnownVersions.none(), true);
  }

  /** A table with one row that never changes. */
  private static final class OneRow implements RowFeed {

    @Override
    public FeedAnswer snapshot() {
      return new FeedAnswer(List.of(new FeedRow("a", at(1), "", false)), at(1));
    }

    @Override
    public FeedAnswer changesAfter(
        StorePosition after, Duration wait, BooleanSupplier stillWanted) {
      awaitInterrupt();
      return new FeedAnswer(List.of(), after);
    }

    private static void awaitInterrupt() {
      try {
        new CountDownLatch(1).await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Test
  void followerHandsRowsOverAgainAfterAFault() throws Exception {
    RowFollower.Listener rows =
        new RowFollower.Listener() {
          @Override
          public void onRows(FeedTracker tracker) {
            failFirstTime();
          }

          @Override
          public void onReachable(boolean reachable) {}
        };
    RowFollower.PeerReports others =
        new RowFollower.PeerReports() {
          @Override
          public StorePosition newestChange() {
            return at(0);
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
        };
    PeerRows unknowingPeers =
        new PeerRows() {
          @Override
          public FeedAnswer askAny() throws StoreException {
            throw new StoreException("nobody knows", false, null);
          }

          @Override
          public FeedAnswer ask(NetworkAddress peer) throws StoreException {
            return askAny();
          }
        };
    RowFollower.Sources sources = new RowFollower.Sources(new OneRow(), unknowingPeers, others);
    Duration bound = Duration.ofSeconds(5);
    RowFollower.Times times =
        new RowFollower.Times(Duration.ZERO, FollowBounds.of(bound, bound), new ChangeSignal());
    try (RowFollower follower =
        new RowFollower("t", sources, rows, log, new FollowCounts(), times)) {
      follower.start(listener);
      awaitContinues("follow-t", () -> {});
    }
  }
}
