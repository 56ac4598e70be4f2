package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedTracker;
import org.fallturn.core.port.feed.HistoryLostException;
import org.fallturn.core.port.feed.RowFeed;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.node.duty.DutyLoop;
import org.fallturn.node.duty.FaultListener;

/**
 * The duty that follows one table of the store on a thread of its own. While the store cannot be
 * reached, what was believed last stays in force, unless another node knows a newer state: a store
 * may turn one node away and serve the others.
 */
final class RowFollower implements AutoCloseable {

  /**
   * After a change, before the next is asked for: rows that come in a burst, as when all engines
   * start, are read together. The pause is doubled while the next change is there already: engines
   * that start write each second for some five seconds, of which 95 nodes made 21 calls each.
   */
  private static final long GATHER_MILLIS = 250;

  /** A change that is answered sooner was there before it was asked for. */
  private static final long WAS_THERE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final long PAUSE_AFTER_FAILURE_MILLIS = 100;
  private static final long LONGEST_PAUSE_MILLIS = 800;

  /** Requests are refused while nothing is known, so that asking again is worth its price. */
  private static final long LONGEST_PAUSE_UNKNOWING_MILLIS = 100;

  private static final long PAUSE_WHEN_STALE_MILLIS = 200;

  /** The longest that the store holds a watch. */
  private static final Duration WAIT_WHEN_TOLD = Duration.ofSeconds(30);

  /** How long a watch may be behind what other nodes have seen: the store answers in some ms. */
  private static final long BEHIND_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final String name;
  private final RowFeed feed;
  private final RowFeed fallback;
  private final Listener listener;
  private final DecisionLog log;
  private final Others others;
  private final Times times;
  private final FeedTracker tracker = new FeedTracker();
  private final DutyLoop loop;
  private volatile boolean owesRows;
  private long gatherMillis;
  private long lookedAfter;
  private long behindSinceNanos;
  private boolean behind;
  private long pauseMillis = PAUSE_AFTER_FAILURE_MILLIS;
  private volatile boolean closed;
  private volatile boolean reachable = true;
  private volatile long confirmedNanos;
  private volatile long position;

  /** What other nodes tell of the table. Thread-safe. */
  interface Others {

    /** The newest change that any of them has seen; 0 when none has. */
    long newestChange();

    /** Whether this node would hear of it soon when another sees a change. */
    boolean tell();
  }

  /** How the follower's thread waits. */
  interface Pause {

    /** Returns after so many ms. */
    void await(long millis) throws InterruptedException;
  }

  /** Hears on the follower's thread of what is believed now. */
  interface Listener {

    /** What is believed changed. */
    void onRows(FeedTracker tracker);

    /** The store was lost, or answers again. */
    void onReachable(boolean reachable);
  }

  /**
   * How long the follower's thread waits for what.
   *
   * @param longestGather bounds how long a change may wait to be read together with others
   * @param longestWait bounds how long a watch that has gone silent is trusted while other nodes do
   *     not tell which changes they have seen
   * @param pause how the thread waits
   */
  record Times(Duration longestGather, Duration longestWait, Pause pause) {

    /** A thread that sleeps while it waits. */
    Times(Duration longestGather, Duration longestWait) {
      this(longestGather, longestWait, TimeUnit.MILLISECONDS::sleep);
    }
  }

  /**
   * A follower that has not begun.
   *
   * @param fallback who is asked while nothing is known and the store does not answer
   * @param others what other nodes tell of the table
   */
  RowFollower(
      String name,
      RowFeed feed,
      RowFeed fallback,
      Listener listener,
      DecisionLog log,
      Others others,
      Times times) {
    this.name = name;
    this.feed = feed;
    this.fallback = fallback;
    this.listener = listener;
    this.log = log;
    this.others = others;
    this.times = times;
    this.loop = new DutyLoop("follow-" + name, this::follow);
  }

  /** Begins; faults are logged only. */
  void start() {
    start(FaultListener.LOGGED);
  }

  /**
   * Begins.
   *
   * @param faults hears of what the duty does not catch
   */
  void start(FaultListener faults) {
    loop.start(faults);
  }

  private void follow() {
    while (!closed) {
      try {
        step();
        onReached();
        confirmedNanos = System.nanoTime();
      } catch (StoreException e) {
        onFailed(e);
      } catch (RuntimeException e) {
        loop.onCaught(e);
        onFailed(e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void step() throws StoreException, InterruptedException {
    if (owesRows) {
      deliver();
    }
    long now = System.nanoTime();
    tracker.setToldByOthers(others.tell());
    if (tracker.shouldReadWhole(now)) {
      readWhole();
      return;
    }
    boolean told = others.tell();
    Duration longest = told ? WAIT_WHEN_TOLD : times.longestWait();
    Duration wait = Duration.ofNanos(tracker.waitNanos(now, longest.toNanos()));
    try {
      FeedAnswer answer =
          feed.changesAfter(tracker.position(), wait, () -> isTrusted(System.nanoTime() - now));
      if (isBehind()) {
        lookedAfter = others.newestChange();
        tracker.onOutage();
      }
      boolean changed = tracker.onChanges(answer);
      position = tracker.position();
      if (changed) {
        deliver();
        gather(System.nanoTime() - now);
      }
    } catch (HistoryLostException e) {
      log.historyLost(name, tracker.position());
      tracker.onHistoryLost(System.nanoTime());
    }
  }

  /** Rows that the listener failed on are handed over again, and nothing is certain until then. */
  private void deliver() {
    boolean delivered = false;
    try {
      listener.onRows(tracker);
      delivered = true;
    } finally {
      owesRows = !delivered;
    }
  }

  private void gather(long answeredWithinNanos) throws InterruptedException {
    boolean goesOn = answeredWithinNanos < WAS_THERE_NANOS && gatherMillis > 0;
    long longer =
        Math.min(2 * gatherMillis, Math.max(GATHER_MILLIS, times.longestGather().toMillis()));
    gatherMillis = goesOn ? longer : GATHER_MILLIS;
    times.pause().await(gatherMillis);
  }

  /** Whether other nodes have seen a change that this one does not know; any thread may call. */
  boolean knowsOfNewer() {
    return others.newestChange() > position;
  }

  /**
   * How long ago it was certain that nothing newer is there, in ns; any thread may call. While the
   * store answers and other nodes would tell of a change, a watch without an answer is certain too.
   */
  long unconfirmedNanos(long nowNanos) {
    boolean certain = reachable && !owesRows && others.tell() && !knowsOfNewer();
    return certain ? 0 : nowNanos - confirmedNanos;
  }

  /** Whether the present watch can be relied on, though the store may have gone silent. */
  private boolean isTrusted(long heldNanos) {
    return !isBehind() && (heldNanos < times.longestWait().toNanos() || others.tell());
  }

  /** Whether others saw a change some time ago that the watch has not brought. */
  private boolean isBehind() {
    long newest = others.newestChange();
    if (newest <= Math.max(tracker.position(), lookedAfter)) {
      behind = false;
      return false;
    }
    if (!behind) {
      behind = true;
      behindSinceNanos = System.nanoTime();
    }
    return System.nanoTime() - behindSinceNanos >= BEHIND_NANOS;
  }

  private void readWhole() throws StoreException, InterruptedException {
    FeedAnswer answer = feed.snapshot();
    boolean stale = answer.version() < tracker.position();
    boolean changed = tracker.onWhole(answer, System.nanoTime());
    position = tracker.position();
    if (changed) {
      deliver();
    }
    if (stale) {
      times.pause().await(PAUSE_WHEN_STALE_MILLIS);
    }
  }

  private void onReached() {
    pauseMillis = PAUSE_AFTER_FAILURE_MILLIS;
    if (!reachable) {
      reachable = true;
      listener.onReachable(true);
      log.dependencyRegained(name);
    }
  }

  private void onFailed(Exception failure) {
    if (reachable) {
      reachable = false;
      listener.onReachable(false);
      log.dependencyLost(name, failure);
    }
    tracker.onOutage();
    if (!tracker.known() || others.newestChange() > tracker.position()) {
      askOthers();
    }
    try {
      times.pause().await(pauseMillis);
    } catch (InterruptedException e) {
      closed = true;
    }
    long longest = tracker.known() ? LONGEST_PAUSE_MILLIS : LONGEST_PAUSE_UNKNOWING_MILLIS;
    pauseMillis = Math.min(2 * pauseMillis, longest);
  }

  private void askOthers() {
    try {
      FeedAnswer answer = fallback.snapshot();
      boolean changed = tracker.onWhole(answer, System.nanoTime());
      position = tracker.position();
      if (changed) {
        log.learnedFromPeer(name, answer.version());
        deliver();
      }
      tracker.onOutage();
    } catch (StoreException e) {
      log.noPeerKnows(name, e);
    }
  }

  @Override
  public void close() {
    closed = true;
    loop.close();
  }
}
