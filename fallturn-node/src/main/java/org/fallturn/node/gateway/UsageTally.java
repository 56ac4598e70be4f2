package org.fallturn.node.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fallturn.core.clock.WallClock;
import org.fallturn.core.dispatch.AttemptOutcome;
import org.fallturn.core.dispatch.RequestProgress;
import org.fallturn.core.usage.UsageCounts;
import org.fallturn.core.usage.UsageLedger;
import org.fallturn.core.usage.UsageReport;
import org.fallturn.core.usage.UsageSchedule;
import org.fallturn.core.usage.UsageWindows;

/**
 * Counts the requests that begin to run, tells the sums to the nodes that collect them, and has a
 * window reported when it is due and this node leads. A request counts with the first part of its
 * answer; an application request, whose answer comes whole, with its sending, which is when a back
 * end that has room begins. Only the dispatch thread calls.
 */
final class UsageTally implements RunCounter {

  /** Of the counts of a node that is killed, those since it last told are lost. */
  private static final long TELL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** As often as the clock is to be looked at; each look costs two calls of the system. */
  private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** A node that has just begun to collect has been told by all within two such times. */
  private static final long COLLECT_NANOS = 2 * TELL_NANOS + TELL_NANOS / 2;

  private final UsageWindows windows;
  private final WallClock clock;
  private final Fleet fleet;
  private final Consumer<UsageReport> reports;
  private final UsageLedger ledger;
  private final UsageSchedule schedule;
  private boolean collects;
  private long collectsSinceNanos;
  private long toldNanos;
  private long lookedNanos;

  /** What the tally asks of the fleet. */
  interface Fleet {

    /** Name of this node. */
    String node();

    /** Rises with each start of this node's process. */
    long incarnation();

    /** Whether others tell this node what they count. */
    boolean collects();

    /** Whether this node is the one that reports now, as far as it knows. */
    boolean leads(long nowNanos);

    /** Tells the nodes that collect. */
    void tell(UsageCounts news);
  }

  /**
   * A tally that has counted nothing.
   *
   * @param firstStart whether the whole system starts for the first time
   * @param reports takes windows that are due, over and over until {@link #onReported}
   */
  UsageTally(
      UsageWindows windows,
      WallClock clock,
      boolean firstStart,
      Fleet fleet,
      Consumer<UsageReport> reports) {
    this.windows = windows;
    this.clock = clock;
    this.fleet = fleet;
    this.reports = reports;
    this.ledger = new UsageLedger(windows);
    this.schedule = new UsageSchedule(windows, firstStart, clock.unixMillis());
  }

  @Override
  public void onBegan(Exchange exchange) {
    count(exchange, 0);
  }

  @Override
  public void onFailed(Exchange exchange, AttemptOutcome outcome, long nowNanos) {
    if (exchange.progress().prefilling()) {
      return;
    }
    if (isApplication(exchange)) {
      if (outcome.mayHaveRun()) {
        countAsSent(exchange, nowNanos);
      }
    } else if (outcome == AttemptOutcome.ANSWERED_FAILURE || outcome == AttemptOutcome.LOST) {
      count(exchange, 0);
    }
  }

  @Override
  public void onEnded(Exchange exchange, long nowNanos) {
    if (isApplication(exchange) && exchange.progress().possibleRuns() > 0) {
      countAsSent(exchange, nowNanos);
    }
  }

  private static boolean isApplication(Exchange exchange) {
    return exchange.envelope().prompt().isEmpty();
  }

  private void countAsSent(Exchange exchange, long nowNanos) {
    RequestProgress progress = exchange.progress();
    count(exchange, TimeUnit.NANOSECONDS.toMillis(nowNanos - progress.sentNanos()));
  }

  private void count(Exchange exchange, long millisAgo) {
    exchange
        .envelope()
        .caller()
        .tenant()
        .filter(tenant -> exchange.countOnce())
        .ifPresent(
            tenant ->
                ledger.count(
                    fleet.node(),
                    fleet.incarnation(),
                    tenant.name(),
                    clock.unixMillis() - millisAgo));
  }

  @Override
  public void onPeerReport(UsageCounts news) {
    ledger.onPeerReport(news, clock.unixMillis());
  }

  @Override
  public void onReported(long window) {
    schedule.onDone(window);
  }

  @Override
  public void onTick(long nowNanos) {
    if (nowNanos - lookedNanos < LOOK_NANOS) {
      return;
    }
    lookedNanos = nowNanos;
    long unixMillis = clock.unixMillis();
    if (collects != fleet.collects()) {
      collects = !collects;
      collectsSinceNanos = nowNanos;
    }
    if (nowNanos - toldNanos >= TELL_NANOS) {
      toldNanos = nowNanos;
      tell(unixMillis);
    }
    boolean knows = collects && nowNanos - collectsSinceNanos >= COLLECT_NANOS;
    if (knows && fleet.leads(nowNanos)) {
      OptionalLong due = schedule.due(unixMillis);
      if (due.isPresent()) {
        reports.accept(new UsageReport(due.getAsLong(), ledger.total(due.getAsLong())));
      }
    }
  }

  /** The present window and the one before, whose last counts may have come since. */
  private void tell(long unixMillis) {
    long present = windows.at(unixMillis);
    Map<Long, Map<String, Integer>> sums = new HashMap<>();
    for (long window = present - 1; window <= present; window++) {
      Map<String, Integer> own = ledger.ofProcess(window, fleet.node(), fleet.incarnation());
      if (!own.isEmpty()) {
        sums.put(window, own);
      }
    }
    if (!sums.isEmpty()) {
      fleet.tell(new UsageCounts(fleet.node(), fleet.incarnation(), sums));
    }
  }
}
