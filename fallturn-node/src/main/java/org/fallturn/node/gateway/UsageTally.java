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
 * Counts the requests that begin to run by tenant and window, publishes the sums to the nodes that
 * collect them, and has a window reported when it is due and this node leads. A model request
 * counts when the first part of its answer arrives. An application request, whose answer comes
 * whole, counts as of its sending, which is when a back end that has room begins. Only the dispatch
 * thread calls.
 */
final class UsageTally implements RunCounter {

  /**
   * How often this node publishes its counts. The counts of a killed node since it last published
   * are lost.
   */
  private static final long PUBLISH_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** How often to read the clock, since each reading costs two system calls. */
  private static final long CLOCK_READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /**
   * Time from when a node begins to collect until it takes its sums as complete: half an interval
   * more than the two intervals within which all other nodes publish to it.
   */
  private static final long COLLECT_COMPLETE_NANOS =
      2 * PUBLISH_INTERVAL_NANOS + PUBLISH_INTERVAL_NANOS / 2;

  private final UsageWindows windows;
  private final WallClock clock;
  private final Fleet fleet;
  private final Consumer<UsageReport> reports;
  private final UsageLedger ledger;
  private final UsageSchedule schedule;
  private boolean collects;
  private long collectsSinceNanos;
  private long publishedNanos;
  private long clockReadNanos;

  /** The fleet, as far as the tally needs it. */
  interface Fleet {

    /** Returns the name of this node. */
    String node();

    /** Returns the incarnation of this node's process, which rises with each start. */
    long incarnation();

    /** Returns whether other nodes send their counts to this one. */
    boolean collects();

    /** Returns whether this node is now the one that reports, as far as it knows. */
    boolean leads(long nowNanos);

    /** Sends the counts of this process to the nodes that collect. */
    void publish(UsageCounts news);
  }

  /**
   * A tally that has counted nothing.
   *
   * @param firstStart whether the whole system starts for the first time
   * @param reports takes each report that is due, repeatedly until {@link #onDone}
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
    } else if (isRunWithoutAnswer(outcome)) {
      count(exchange, 0);
    }
  }

  private static boolean isRunWithoutAnswer(AttemptOutcome outcome) {
    return outcome == AttemptOutcome.ANSWERED_FAILURE
        || outcome == AttemptOutcome.LOST
        || outcome == AttemptOutcome.UNCONFIRMED;
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
  public void onDone(long window) {
    schedule.onDone(window);
  }

  @Override
  public void onTick(long nowNanos) {
    if (nowNanos - clockReadNanos < CLOCK_READ_INTERVAL_NANOS) {
      return;
    }
    clockReadNanos = nowNanos;
    long unixMillis = clock.unixMillis();
    if (collects != fleet.collects()) {
      collects = !collects;
      collectsSinceNanos = nowNanos;
    }
    if (nowNanos - publishedNanos >= PUBLISH_INTERVAL_NANOS) {
      publishedNanos = nowNanos;
      publish(unixMillis);
    }
    boolean sumsComplete = collects && nowNanos - collectsSinceNanos >= COLLECT_COMPLETE_NANOS;
    if (sumsComplete && fleet.leads(nowNanos)) {
      OptionalLong due = schedule.due(unixMillis);
      if (due.isPresent()) {
        reports.accept(new UsageReport(due.getAsLong(), ledger.total(due.getAsLong())));
      }
    }
  }

  /**
   * Publishes the counts of the present window and of the one before, whose last counts may have
   * come since.
   */
  private void publish(long unixMillis) {
    long present = windows.at(unixMillis);
    Map<Long, Map<String, Integer>> sums = new HashMap<>();
    for (long window = present - 1; window <= present; window++) {
      Map<String, Integer> own = ledger.ofProcess(window, fleet.node(), fleet.incarnation());
      if (!own.isEmpty()) {
        sums.put(window, own);
      }
    }
    if (!sums.isEmpty()) {
      fleet.publish(new UsageCounts(fleet.node(), fleet.incarnation(), sums));
    }
  }
}
