package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.following.FollowBounds;
import org.fallturn.core.following.FollowPlan;
import org.fallturn.core.following.FollowState;
import org.fallturn.core.following.FollowStep;
import org.fallturn.core.following.WatchOrder;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedTracker;
import org.fallturn.core.port.feed.HistoryLostException;
import org.fallturn.core.port.feed.RowFeed;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.node.duty.DutyLoop;
import org.fallturn.node.duty.FaultListener;

/**
 * The duty that follows one table of the store on a thread of its own, from the store or from other
 * nodes as {@link FollowPlan} decides. While neither tells anything, what was believed last stays
 * in force.
 */
final class RowFollower implements AutoCloseable {

  /**
   * After a change, before the next is asked for: rows that come in a burst, as when all engines
   * start, are read together. The pause is doubled while the next change is there already, and ends
   * when another node knows it, which costs no call.
   */
  private static final long GATHER_MILLIS = 250;

  /** A change that is answered sooner was there before it was asked for. */
  private static final long WAS_THERE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final long PAUSE_WHEN_STALE_MILLIS = 200;

  /** How long a watch may be behind what other nodes have seen: the store answers in some ms. */
  private static final long BEHIND_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final String name;
  private final RowFeed feed;
  private final PeerRows peers;
  private final Listener listener;
  private final DecisionLog log;
  private final PeerReports others;
  private final Times times;
  private final FollowCounts counts;
  private final FollowPlan plan;
  private final FeedTracker tracker = new FeedTracker();
  private final DutyLoop loop;
  private volatile boolean owesRows;
  private FollowStep.Source source = FollowStep.Source.STORE;
  private long gatherMillis;
  private long behindSinceNanos;
  private boolean behind;
  private volatile boolean closed;
  private volatile boolean reachable = true;
  private volatile boolean confirmed;
  private volatile long confirmedNanos;
  private volatile long currentNanos = System.nanoTime();
  private volatile long position;

  /** What other nodes tell of the table. Thread-safe. */
  interface PeerReports {

    /** The newest change that any of them has seen; 0 when none has. */
    long newestChange();

    /** Time since one of them told that the store had answered; the greatest value for never. */
    long sinceConfirmedNanos();

    /** This node's place among those that watch the store. */
    WatchOrder order();

    /** The store answered this node, when its clock showed this time. */
    void onConfirmed(long storeMillis);
  }

  /** How the follower's thread waits. */
  @FunctionalInterface
  interface Pause {

    /** Returns after so many ms, or sooner once it is so. */
    void await(long millis, BooleanSupplier until) throws InterruptedException;
  }

  /** Hears on the follower's thread of what is believed now. */
  interface Listener {

    /** What is believed changed. */
    void onRows(FeedTracker tracker);

    /** The store was lost, or answers again. */
    void onReachable(boolean reachable);
  }

  /** Where rows come from, besides this node. */
  record Sources(RowFeed store, PeerRows peers, PeerReports others) {}

  /**
   * How long the follower's thread waits for what.
   *
   * @param maxBatchPause bounds how long a change may wait to be read together with others
   * @param bounds how old what is known may be
   * @param pause how the thread waits
   */
  record Times(Duration maxBatchPause, FollowBounds bounds, Pause pause) {}

  /** A follower that has not begun. */
  RowFollower(
      String name,
      Sources sources,
      Listener listener,
      DecisionLog log,
      FollowCounts counts,
      Times times) {
    this.name = name;
    this.feed = sources.store();
    this.peers = sources.peers();
    this.others = sources.others();
    this.listener = listener;
    this.log = log;
    this.counts = counts;
    this.times = times;
    this.plan = new FollowPlan(times.bounds());
    this.loop = new DutyLoop("follow-" + name, this::follow);
  }

  /** Begins; faults are logged only. */
  void start() {
    start(FaultListener.LOG_ONLY);
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
    FollowState sight = sight();
    FollowStep step = plan.next(sight, System.nanoTime());
    onSource(step);
    switch (step.kind()) {
      case LISTEN -> listen(step, sight);
      case ASK -> ask(step, sight);
      case WATCH -> watch(step, sight);
      default -> readWhole(sight);
    }
  }

  private FollowState sight() {
    long now = System.nanoTime();
    WatchOrder order = others.order();
    tracker.setToldByOthers(!order.alone());
    long newest = others.newestChange();
    FollowState sight =
        new FollowState(
            tracker.known(),
            tracker.shouldReadWhole(now),
            tracker.position(),
            newest,
            sinceOwnNanos(now),
            others.sinceConfirmedNanos(),
            order);
    if (!plan.isBehind(sight, now) && tracker.known() && !owesRows) {
      currentNanos = now - Math.min(now - currentNanos, ageNanos(now));
    }
    return sight;
  }

  private long sinceOwnNanos(long nowNanos) {
    return confirmed ? nowNanos - confirmedNanos : Long.MAX_VALUE;
  }

  private long ageNanos(long nowNanos) {
    return Math.min(sinceOwnNanos(nowNanos), others.sinceConfirmedNanos());
  }

  private void onSource(FollowStep step) {
    if (step.kind().source() != source) {
      source = step.kind().source();
      log.sourceChanged(name, source, tracker.position());
    }
  }

  /** A bell that rings for a change which was known before would wake the thread in vain. */
  private void listen(FollowStep step, FollowState sight) throws InterruptedException {
    long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(step.nanos()));
    times.pause().await(millis, () -> others.newestChange() > sight.newest());
  }

  private void ask(FollowStep step, FollowState sight) throws InterruptedException {
    times.pause().await(TimeUnit.NANOSECONDS.toMillis(step.nanos()), () -> false);
    long before = tracker.position();
    try {
      take(askPeer(step.candidate(), sight.order().askable()));
    } catch (TableTooLargeException e) {
      plan.onTooLarge();
      return;
    } catch (StoreException e) {
      log.noPeerKnows(name, e);
    }
    boolean newer = tracker.position() > before;
    counts.count(newer ? FollowCounts.Kind.PEER_ROWS : FollowCounts.Kind.PEER_NOTHING);
    plan.onAsked(tracker.position() >= sight.newest());
  }

  private FeedAnswer askPeer(int candidate, List<NetworkAddress> askable) throws StoreException {
    return candidate < 0 ? peers.askAny() : peers.ask(askable.get(candidate));
  }

  private void take(FeedAnswer answer) {
    boolean changed = tracker.onWhole(answer, System.nanoTime());
    position = tracker.position();
    if (changed) {
      log.learnedFromPeer(name, answer.version());
      deliver();
    }
  }

  private void watch(FollowStep step, FollowState sight)
      throws StoreException, InterruptedException {
    long begun = System.nanoTime();
    boolean[] ended = new boolean[1];
    BooleanSupplier wanted =
        () -> {
          ended[0] |= !isTrusted(System.nanoTime() - begun);
          return !ended[0];
        };
    try {
      FeedAnswer answer =
          feed.changesAfter(tracker.position(), Duration.ofNanos(step.nanos()), wanted);
      boolean changed = tracker.onChanges(answer);
      position = tracker.position();
      counts.count(kindOf(answer, ended[0]));
      if (changed) {
        deliver();
      }
      if (ended[0]) {
        onEnded();
      } else {
        onReached(answer, sight);
      }
      if (changed && step.nanos() > 0) {
        gather(System.nanoTime() - begun);
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

  private static FollowCounts.Kind kindOf(FeedAnswer answer, boolean ended) {
    if (ended) {
      return FollowCounts.Kind.STORE_WATCH_ENDED;
    }
    return answer.rows().isEmpty()
        ? FollowCounts.Kind.STORE_WATCH_EMPTY
        : FollowCounts.Kind.STORE_WATCH_ROWS;
  }

  /** A watch that went silent may have missed what others have seen. */
  private void onEnded() {
    if (behind) {
      tracker.onOutage();
      plan.onSilent();
    }
  }

  private void gather(long answeredWithinNanos) throws InterruptedException {
    boolean goesOn = answeredWithinNanos < WAS_THERE_NANOS && gatherMillis > 0;
    long longer =
        Math.min(2 * gatherMillis, Math.max(GATHER_MILLIS, times.maxBatchPause().toMillis()));
    gatherMillis = goesOn ? longer : GATHER_MILLIS;
    times.pause().await(gatherMillis, () -> plan.isBehind(sight(), System.nanoTime()));
  }

  /** Whether other nodes have seen a change that this one does not know; any thread may call. */
  boolean knowsOfNewerChange() {
    return others.newestChange() > position;
  }

  /**
   * How long ago it was certain that nothing newer is there, in ns; any thread may call. What other
   * nodes tell counts as much as what the store answers.
   */
  long stalenessNanos(long nowNanos) {
    long current = nowNanos - currentNanos;
    boolean certain = !owesRows && !knowsOfNewerChange();
    return certain ? Math.min(current, ageNanos(nowNanos)) : current;
  }

  /** Whether the present watch can be relied on, though the store may have gone silent. */
  private boolean isTrusted(long heldNanos) {
    FollowState sight = sight();
    return !isBehind(sight) && plan.trusts(sight, heldNanos);
  }

  /** Whether others saw a change some time ago that the watch has not brought. */
  private boolean isBehind(FollowState sight) {
    if (!plan.isBehind(sight, System.nanoTime())) {
      behind = false;
      return false;
    }
    if (!behind) {
      behind = true;
      behindSinceNanos = System.nanoTime();
    }
    return System.nanoTime() - behindSinceNanos >= BEHIND_NANOS;
  }

  private void readWhole(FollowState sight) throws StoreException, InterruptedException {
    counts.count(FollowCounts.Kind.STORE_WHOLE);
    FeedAnswer answer = feed.snapshot();
    boolean stale = answer.version() < tracker.position();
    boolean changed = tracker.onWhole(answer, System.nanoTime());
    position = tracker.position();
    if (changed) {
      deliver();
    }
    if (stale) {
      times.pause().await(PAUSE_WHEN_STALE_MILLIS, () -> false);
    } else {
      onReached(answer, sight);
    }
  }

  /** PeerReports are told of the changes first: to confirm is to say that there are no more. */
  private void onReached(FeedAnswer answer, FollowState before) {
    behind = false;
    confirmedNanos = System.nanoTime();
    confirmed = true;
    plan.onAnswered();
    if (before.newest() > before.position()) {
      plan.onChangeChecked(before.newest(), tracker.position(), confirmedNanos);
    }
    if (answer.storeMillis() > 0) {
      others.onConfirmed(answer.storeMillis());
    }
    if (!reachable) {
      reachable = true;
      listener.onReachable(true);
      log.dependencyRegained(name);
    }
  }

  private void onFailed(Exception failure) {
    counts.count(FollowCounts.Kind.STORE_FAILED);
    if (reachable) {
      reachable = false;
      listener.onReachable(false);
      log.dependencyLost(name, failure);
    }
    tracker.onOutage();
    plan.onFailed(sight(), System.nanoTime());
  }

  @Override
  public void close() {
    closed = true;
    loop.close();
  }
}
