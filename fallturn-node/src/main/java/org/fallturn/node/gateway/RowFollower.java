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
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.node.duty.DutyLoop;
import org.fallturn.node.duty.FaultListener;

/**
 * The duty that keeps this node's copy of one table of the store up to date, on a thread of its
 * own. It reads changes from the store or from other nodes, as {@link FollowPlan} decides. While
 * neither can be reached, the last known rows stay in use.
 */
final class RowFollower implements AutoCloseable {

  /**
   * Pause after a change before the next is asked for, so that changes that come in a burst, as
   * when all engines start, are read together. The pause doubles each time the next change is
   * already there, and ends early when another node has seen that change: waiting for its report
   * costs no call.
   */
  private static final long BATCH_PAUSE_MILLIS = 250;

  /** A watch that returns a change sooner than this found it already there. */
  private static final long ALREADY_THERE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Pause before the next step when a whole read was older than the known rows. */
  private static final long STALE_READ_PAUSE_MILLIS = 200;

  /**
   * How long a watch may miss a change that other nodes have seen before it is ended: the store
   * normally answers within a few ms.
   */
  private static final long MAX_BEHIND_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final String name;
  private final RowFeed feed;
  private final PeerRows peers;
  private final Listener listener;
  private final DecisionLog log;
  private final PeerReports peerReports;
  private final Times times;
  private final FollowCounts counts;
  private final FollowPlan plan;
  private final FeedTracker tracker = new FeedTracker();
  private final DutyLoop loop;
  private volatile boolean deliveryPending;
  private FollowStep.Source source = FollowStep.Source.STORE;
  private long batchPauseMillis;
  private long behindSinceNanos;
  private boolean behind;
  private boolean storeBehind;
  private volatile boolean closed;
  private volatile boolean reachable = true;
  private volatile boolean confirmed;
  private volatile long confirmedNanos;
  private volatile long upToDateNanos = System.nanoTime();
  private volatile StorePosition position = StorePosition.NONE;
  private volatile StorePosition delivered = StorePosition.NONE;

  /** What other nodes report about the table, and what this node reports to them. Thread-safe. */
  interface PeerReports {

    /** The newest change that any node has seen; version 0 of the latest era when none has. */
    StorePosition newestChange();

    /**
     * Time in ns since another node reported that the store had answered; {@link Long#MAX_VALUE}
     * when none has.
     */
    long sinceConfirmedNanos();

    /** This node's rank among those that watch the store. */
    WatchOrder order();

    /**
     * Reports to other nodes that the store answered this node.
     *
     * @param answer the answer
     */
    void onConfirmed(FeedAnswer answer);
  }

  /** How the follower's thread waits. */
  @FunctionalInterface
  interface Pause {

    /**
     * Waits.
     *
     * @param millis how long to wait at most
     * @param until ends the wait early once it is true
     */
    void await(long millis, BooleanSupplier until) throws InterruptedException;
  }

  /** Receives changes of the table; called on the follower's thread. */
  interface Listener {

    /** The known rows changed. */
    void onRows(FeedTracker tracker);

    /** The store stopped answering, or answers again. */
    void onReachable(boolean reachable);
  }

  /**
   * Where a follower reads the table.
   *
   * @param store the store
   * @param peers reads the table from other nodes
   * @param peerReports what other nodes report about the table
   */
  record Sources(RowFeed store, PeerRows peers, PeerReports peerReports) {}

  /**
   * The waiting times of a follower.
   *
   * @param maxBatchPause bounds how long a change may wait to be read together with others; has no
   *     effect below {@link #BATCH_PAUSE_MILLIS}
   * @param bounds how old the known rows may be
   * @param pause how the follower's thread waits
   */
  record Times(Duration maxBatchPause, FollowBounds bounds, Pause pause) {}

  /**
   * Creates a follower; {@link #start()} begins to follow.
   *
   * @param name the table's name, as logs and other nodes show it
   */
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
    this.peerReports = sources.peerReports();
    this.listener = listener;
    this.log = log;
    this.counts = counts;
    this.times = times;
    this.plan = new FollowPlan(times.bounds());
    this.loop = new DutyLoop("follow-" + name, this::follow);
  }

  /** Starts following; uncaught exceptions are only logged. */
  void start() {
    start(FaultListener.LOG_ONLY);
  }

  /**
   * Starts following.
   *
   * @param faults receives the exceptions that the duty does not catch
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
    deliver(tracker.expireCorrections(System.nanoTime()));
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
    WatchOrder order = peerReports.order();
    tracker.setToldByOthers(!order.alone());
    StorePosition newest = peerReports.newestChange();
    FollowState sight =
        new FollowState(
            tracker.known(),
            tracker.shouldReadWhole(now),
            tracker.position(),
            newest,
            sinceOwnNanos(now),
            peerReports.sinceConfirmedNanos(),
            order);
    if (!plan.isBehind(sight, now) && tracker.known() && !deliveryPending) {
      upToDateNanos = now - Math.min(now - upToDateNanos, ageNanos(now));
    }
    return sight;
  }

  private long sinceOwnNanos(long nowNanos) {
    return confirmed ? nowNanos - confirmedNanos : Long.MAX_VALUE;
  }

  private long ageNanos(long nowNanos) {
    return Math.min(sinceOwnNanos(nowNanos), peerReports.sinceConfirmedNanos());
  }

  private void onSource(FollowStep step) {
    if (step.kind().source() != source) {
      source = step.kind().source();
      log.sourceChanged(name, source, tracker.position());
    }
  }

  /**
   * Waits for a newer change than this step has seen: a signal for a change that was known before
   * must not wake the thread.
   */
  private void listen(FollowStep step, FollowState sight) throws InterruptedException {
    long nanos = tracker.untilExpiryNanos(System.nanoTime(), step.nanos());
    long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanos));
    times.pause().await(millis, () -> peerReports.newestChange().isAfter(sight.newest()));
  }

  private void ask(FollowStep step, FollowState sight) throws InterruptedException {
    times.pause().await(TimeUnit.NANOSECONDS.toMillis(step.nanos()), () -> false);
    StorePosition before = tracker.position();
    try {
      applyPeerAnswer(askPeer(step.candidate(), sight.order().askable()));
    } catch (TableTooLargeException e) {
      plan.onTooLarge();
      return;
    } catch (StoreException e) {
      log.noPeerKnows(name, e);
    }
    boolean newer = tracker.position().isAfter(before);
    counts.count(newer ? FollowCounts.Kind.PEER_ROWS : FollowCounts.Kind.PEER_NOTHING);
    plan.onAsked(!sight.newest().isAfter(tracker.position()));
  }

  private FeedAnswer askPeer(int candidate, List<NetworkAddress> askable) throws StoreException {
    return candidate < 0 ? peers.askAny() : peers.ask(askable.get(candidate));
  }

  private void applyPeerAnswer(FeedAnswer answer) {
    boolean changed = takeWhole(answer);
    if (changed) {
      log.learnedFromPeer(name, answer.position());
    }
    deliver(changed);
  }

  /**
   * Asks the store for changes, and ends a watch that can no longer be relied on. A call that waits
   * for no change is not ended, since it has a timeout: a node that is behind makes it, and on a
   * slow link would never get an answer if being behind ended it.
   */
  private void watch(FollowStep step, FollowState sight)
      throws StoreException, InterruptedException {
    long begun = System.nanoTime();
    boolean[] ended = new boolean[1];
    BooleanSupplier wanted =
        () -> {
          ended[0] |= step.nanos() > 0 && !isTrusted(System.nanoTime() - begun);
          return !ended[0];
        };
    try {
      Duration wait = Duration.ofNanos(tracker.untilExpiryNanos(begun, step.nanos()));
      FeedAnswer answer = feed.changesAfter(tracker.position(), wait, wanted);
      boolean changed = tracker.onChanges(answer, System.nanoTime());
      position = tracker.position();
      counts.count(kindOf(answer, ended[0]));
      deliver(changed);
      if (ended[0]) {
        onWatchEnded();
      } else {
        onStoreAnswered(answer, sight);
      }
      if (changed && step.nanos() > 0) {
        pauseForBatch(System.nanoTime() - begun);
      }
    } catch (HistoryLostException e) {
      log.historyLost(name, tracker.position());
      tracker.onHistoryLost(System.nanoTime());
    }
  }

  private void deliver(boolean changed) {
    if (changed || deliveryPending) {
      deliver();
    }
    delivered = tracker.position();
  }

  /**
   * Hands the rows to the listener. If it throws, the next step hands them over again, and until
   * then this node does not count as up to date.
   */
  private void deliver() {
    boolean done = false;
    try {
      listener.onRows(tracker);
      done = true;
    } finally {
      deliveryPending = !done;
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

  /** A watch that was ended because it stayed silent may have missed changes that others saw. */
  private void onWatchEnded() {
    if (behind) {
      tracker.onOutage();
      plan.onSilent();
    }
  }

  private void pauseForBatch(long answeredWithinNanos) throws InterruptedException {
    boolean burstContinues = answeredWithinNanos < ALREADY_THERE_NANOS && batchPauseMillis > 0;
    long doubled =
        Math.min(
            2 * batchPauseMillis, Math.max(BATCH_PAUSE_MILLIS, times.maxBatchPause().toMillis()));
    batchPauseMillis = burstContinues ? doubled : BATCH_PAUSE_MILLIS;
    times.pause().await(batchPauseMillis, () -> plan.isBehind(sight(), System.nanoTime()));
  }

  /** Whether other nodes have seen a change that this node has not read; any thread may call. */
  boolean knowsOfNewerChange() {
    return peerReports.newestChange().isAfter(position);
  }

  /** The position in the store's history that this node's rows have; any thread may call. */
  StorePosition position() {
    return position;
  }

  /**
   * The position up to which the listener has been given all changes of the table; any thread may
   * call.
   */
  StorePosition delivered() {
    return delivered;
  }

  /**
   * Time in ns since this node last was certain that its rows are the newest; any thread may call.
   * Reports of other nodes count as much as answers of the store.
   *
   * @param nowNanos now, on the clock of {@link System#nanoTime}
   */
  long stalenessNanos(long nowNanos) {
    long current = nowNanos - upToDateNanos;
    boolean certain = !deliveryPending && !knowsOfNewerChange();
    return certain ? Math.min(current, ageNanos(nowNanos)) : current;
  }

  /**
   * The longest time between two confirmations while this node is in contact with the store,
   * directly or through others: at most one confirmation in a row was missed. Any thread may call.
   */
  long maxContactGapNanos() {
    return 2 * times.bounds().silenceNanos(peerReports.order());
  }

  /** How long to pause between two confirmations on request; any thread may call. */
  long confirmationPauseNanos() {
    return times.bounds().confirmationPauseNanos(peerReports.order());
  }

  /**
   * Whether the running watch can still be relied on, though the store may have gone silent.
   *
   * @param heldNanos how long the watch has run
   */
  private boolean isTrusted(long heldNanos) {
    FollowState sight = sight();
    return !isBehind(sight) && plan.trusts(sight, heldNanos);
  }

  /** Whether others saw a change longer ago than allowed that the watch has not returned. */
  private boolean isBehind(FollowState sight) {
    if (!plan.isBehind(sight, System.nanoTime())) {
      behind = false;
      return false;
    }
    if (!behind) {
      behind = true;
      behindSinceNanos = System.nanoTime();
    }
    return System.nanoTime() - behindSinceNanos >= MAX_BEHIND_NANOS;
  }

  private void readWhole(FollowState sight) throws StoreException, InterruptedException {
    counts.count(FollowCounts.Kind.STORE_WHOLE);
    FeedAnswer answer = feed.snapshot();
    boolean stale = tracker.position().isAfter(answer.position());
    onWholeRead(stale, answer.position());
    deliver(takeWhole(answer));
    if (stale) {
      times.pause().await(STALE_READ_PAUSE_MILLIS, () -> false);
    } else {
      onStoreAnswered(answer, sight);
    }
  }

  /** Takes a whole table; returns whether anything that is believed changed. */
  private boolean takeWhole(FeedAnswer answer) {
    StorePosition before = tracker.position();
    boolean restored = tracker.known() && answer.position().isOfLaterEraThan(before);
    if (restored) {
      log.storeRestored(name, before, answer.position());
    }
    boolean changed = tracker.onWhole(answer, System.nanoTime());
    position = tracker.position();
    return changed;
  }

  /** Counts whole reads that are too old to use, and logs the first and the end of such a run. */
  private void onWholeRead(boolean stale, StorePosition answered) {
    if (stale) {
      counts.count(FollowCounts.Kind.STORE_STALE);
    }
    if (stale && !storeBehind) {
      log.storeBehind(name, tracker.position(), answered);
    } else if (!stale && storeBehind) {
      log.storeCaughtUp(name, answered);
    }
    storeBehind = stale;
  }

  /**
   * The store answered. The listener gets the rows first, and through it other nodes learn of the
   * changes: a confirmation states that there are no more.
   */
  private void onStoreAnswered(FeedAnswer answer, FollowState before) {
    behind = false;
    confirmedNanos = System.nanoTime();
    confirmed = true;
    plan.onAnswered();
    if (before.newest().isAfter(before.position())) {
      plan.onChangeChecked(before.newest(), tracker.position(), confirmedNanos);
    }
    if (answer.storeMillis() > 0) {
      peerReports.onConfirmed(answer);
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
