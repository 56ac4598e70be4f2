package org.fallturn.core.usage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.stages.OrderLease;
import org.fallturn.core.stages.OrderLeaseReading;
import org.fallturn.core.stages.OrderLeaseRow;
import org.fallturn.core.stages.OrderLeaseStore;
import org.fallturn.core.stages.StageParameters;
import org.junit.jupiter.api.Test;

/**
 * Guards against two reports of one window with different counts. The first node fixes the counts
 * in a row of the store and reports them. Then the store is restored from a copy without the row,
 * or a write of before arrives late in the restored store, and another node fixes counts of its
 * own.
 */
class UsageAgreementTest {

  private static final UsageWindows WINDOWS =
      new UsageWindows(Duration.ofSeconds(5), Duration.ofSeconds(10));
  private static final StageParameters LEASE =
      new StageParameters(true, 0.35, Duration.ofSeconds(2), Duration.ofSeconds(1));
  private static final long START = 1_790_000_000_000L;
  private static final long WINDOW = WINDOWS.at(START);
  private static final int NODES = 3;

  private record Row(Object content, long version) {}

  private record Copy(Map<String, Row> rows, long version) {}

  /** Holds the lease and the counts; can lose answers, carry writes out late, and be restored. */
  private static final class Store {

    private long millis = START;
    private long era = 1;
    private long version = 100;
    private Map<String, Row> rows = new HashMap<>();
    private boolean losesAnswers;
    private final List<Runnable> lateWrites = new ArrayList<>();
    private Runnable beforeWrite = () -> {};

    private long nanos() {
      return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private StorePosition position(String key) {
      return new StorePosition(era, rows.containsKey(key) ? rows.get(key).version() : 0);
    }

    private <T> Optional<T> content(String key, Class<T> type) {
      return Optional.ofNullable(rows.get(key)).map(row -> type.cast(row.content()));
    }

    private Optional<StorePosition> write(String key, Object content, long expected)
        throws StoreException {
      beforeWrite.run();
      if (losesAnswers) {
        lateWrites.add(() -> apply(key, content, expected));
        throw new StoreException("no answer", true, null);
      }
      return apply(key, content, expected)
          ? Optional.of(new StorePosition(era, version))
          : Optional.empty();
    }

    private boolean apply(String key, Object content, long expected) {
      if (position(key).version() != expected) {
        return false;
      }
      rows.put(key, new Row(content, ++version));
      return true;
    }

    Copy copy() {
      return new Copy(Map.copyOf(rows), version);
    }

    void restore(Copy copy) {
      rows = new HashMap<>(copy.rows());
      version = copy.version();
      era++;
    }

    OrderLeaseStore leases() {
      return new OrderLeaseStore() {
        @Override
        public OrderLeaseReading read() {
          return new OrderLeaseReading(
              content("lease", OrderLeaseRow.class), position("lease"), millis);
        }

        @Override
        public Optional<StorePosition> write(OrderLeaseRow row, long expected)
            throws StoreException {
          return Store.this.write("lease", row, expected);
        }
      };
    }

    UsageStore usage() {
      return new UsageStore() {
        @Override
        public UsageReading read(long window) {
          String key = "usage-" + window % 16;
          return new UsageReading(content(key, FixedUsage.class), position(key));
        }

        @Override
        public Optional<StorePosition> write(FixedUsage counts, long expected)
            throws StoreException {
          return Store.this.write("usage-" + counts.report().window() % 16, counts, expected);
        }
      };
    }
  }

  /** A process with a clock of its own, which differs from the true time. */
  private static final class Node {

    private final Store store;
    private final long clockMillis;
    private final OrderLease lease;
    private final UsageAgreement agreement;

    Node(Store store, int number, long clockMillis, boolean firstStart) {
      this.store = store;
      this.clockMillis = clockMillis;
      this.lease =
          new OrderLease(store.leases(), "node-" + number, LEASE, firstStart, store::nanos);
      this.agreement = new UsageAgreement(store.usage(), WINDOWS, this::unixMillis);
    }

    long unixMillis() {
      return store.millis + clockMillis;
    }

    Optional<UsageReport> agree(long window, long requests) throws StoreException {
      return agreement.agree(new UsageReport(window, Map.of("bakery", requests)), lease.era());
    }
  }

  private final Store store = new Store();

  private Node startedNode(int number, boolean firstStart) throws StoreException {
    Node node = new Node(store, number, 0, firstStart);
    node.lease.take();
    return node;
  }

  private static UsageReport counts(long window, long requests) {
    return new UsageReport(window, Map.of("bakery", requests));
  }

  private void settle(long window) {
    store.millis = WINDOWS.settledMillis(window);
  }

  @Test
  void firstCountsStandForAllNodes() throws StoreException {
    Node first = startedNode(1, true);
    Node second = startedNode(2, true);
    settle(WINDOW);
    assertThat(first.agree(WINDOW, 7)).contains(counts(WINDOW, 7));
    assertThat(second.agree(WINDOW, 9)).contains(counts(WINDOW, 7));
    store.rows.clear();
    assertThat(first.agree(WINDOW, 8)).as("the first node remembers").contains(counts(WINDOW, 7));
  }

  @Test
  void windowThatMayHaveBeenFixedInALostRowIsFixedByNobodyElse() throws StoreException {
    Node first = startedNode(1, true);
    Node second = startedNode(2, true);
    Copy copy = store.copy();
    settle(WINDOW);
    first.agree(WINDOW, 7);
    store.restore(copy);
    second.lease.onEra(store.era);
    assertThat(second.agree(WINDOW, 9)).isEmpty();
    first.lease.onEra(store.era);
    assertThat(first.agree(WINDOW, 9)).contains(counts(WINDOW, 7));
  }

  @Test
  void windowsThatEndAfterTheRestoreAreFixed() throws StoreException {
    Node node = startedNode(1, true);
    store.restore(store.copy());
    node.lease.onEra(store.era);
    settle(WINDOW + 1);
    assertThat(node.agree(WINDOW + 1, 7)).contains(counts(WINDOW + 1, 7));
  }

  /** A process that started later learns from the row of the lease how long the era has lasted. */
  @Test
  void nodeThatStartedLaterFixesWindowsOfBeforeItsStart() throws StoreException {
    startedNode(1, true);
    settle(WINDOW);
    store.millis += 4_000;
    Node later = startedNode(2, false);
    assertThat(later.agree(WINDOW, 7)).contains(counts(WINDOW, 7));
  }

  @Test
  void nodeThatStartedLaterFixesNoWindowOfBeforeTheRestore() throws StoreException {
    startedNode(1, true);
    settle(WINDOW);
    store.restore(store.copy());
    store.millis += 4_000;
    Node holder = startedNode(2, false);
    store.millis += 4_000;
    assertThat(holder.lease.take()).isTrue();
    store.millis += 5_000;
    Node later = startedNode(3, false);
    assertThat(later.agree(WINDOW, 7)).isEmpty();
    assertThat(later.agree(WINDOW + 2, 7)).contains(counts(WINDOW + 2, 7));
  }

  /** A node that starts with the whole system may reach the store only after a restore. */
  @Test
  void nodeThatReachesTheStoreLateFixesNoWindowOfBefore() throws StoreException {
    Node first = startedNode(1, true);
    Node cutOff = new Node(store, 2, 0, true);
    Copy copy = store.copy();
    settle(WINDOW + 1);
    assertThat(first.agree(WINDOW + 1, 7)).isPresent();
    store.restore(copy);
    cutOff.lease.take();
    assertThat(cutOff.agree(WINDOW + 1, 9)).isEmpty();
  }

  @Test
  void countsWrittenAcrossARestoreAreNotReported() throws StoreException {
    Node node = startedNode(1, true);
    settle(WINDOW);
    store.beforeWrite = () -> store.restore(store.copy());
    assertThatThrownBy(() -> node.agree(WINDOW, 7)).isInstanceOf(StoreException.class);
    store.beforeWrite = () -> {};
    node.lease.onEra(store.era);
    assertThat(node.agree(WINDOW, 7)).isEmpty();
  }

  /** Stores without eras lose nothing; a row that an earlier build wrote has no era either. */
  @Test
  void storeWithoutErasLosesNothing() throws StoreException {
    store.era = 0;
    Node node = startedNode(1, false);
    settle(WINDOW);
    assertThat(node.agree(WINDOW - 2, 7)).contains(counts(WINDOW - 2, 7));
    store.apply("usage-" + WINDOW % 16, new FixedUsage(counts(WINDOW, 3), 0), 0);
    assertThat(node.agree(WINDOW, 7)).contains(counts(WINDOW, 3));
  }

  /**
   * Any course of restores, one after the other, lost answers, late writes, restarts and clocks
   * that differ; other nodes act between the reading and the write of one.
   */
  @Property(tries = 600, seed = "20261204")
  void noTwoNodesReportDifferentCounts(@ForAll long seed) {
    Random random = new Random(seed);
    Node[] nodes = new Node[NODES];
    Arrays.setAll(nodes, number -> newNode(number, random));
    List<Copy> copies = new ArrayList<>(List.of(store.copy()));
    Map<Long, UsageReport> reported = new HashMap<>();
    for (int step = 0; step < 400; step++) {
      store.millis += random.nextInt(500);
      int number = random.nextInt(NODES);
      store.beforeWrite = () -> {};
      switch (random.nextInt(14)) {
        case 0 -> copies.add(store.copy());
        case 1 -> {
          if (random.nextInt(3) == 0) {
            restoreOneOf(copies, random);
          }
        }
        case 2 -> store.losesAnswers = random.nextInt(3) == 0;
        case 3 -> store.lateWrites.forEach(Runnable::run);
        case 4 -> nodes[number] = newNode(number, random);
        case 5 -> {
          store.beforeWrite =
              () -> {
                store.beforeWrite = () -> {};
                if (random.nextBoolean()) {
                  restoreOneOf(copies, random);
                }
                report(nodes[random.nextInt(NODES)], random, reported);
              };
          report(nodes[number], random, reported);
        }
        default -> report(nodes[number], random, reported);
      }
    }
    assertThat(reported).isNotEmpty();
  }

  private Node newNode(int number, Random random) {
    return new Node(store, number, random.nextInt(1_900) - 950, false);
  }

  private void restoreOneOf(List<Copy> copies, Random random) {
    int newest = copies.size() - 1;
    store.restore(copies.get(newest - random.nextInt(Math.min(3, copies.size()))));
  }

  private static void report(Node node, Random random, Map<Long, UsageReport> reported) {
    try {
      node.lease.take();
      long window = WINDOWS.at(node.unixMillis()) - random.nextInt(4);
      if (node.unixMillis() >= WINDOWS.settledMillis(window)) {
        node.agree(window, random.nextInt(1_000))
            .ifPresent(
                report ->
                    assertThat(report)
                        .isEqualTo(reported.computeIfAbsent(window, known -> report)));
      }
    } catch (StoreException e) {
      assertThat(e).hasMessageMatching("no answer|the store was restored meanwhile");
    }
  }
}
