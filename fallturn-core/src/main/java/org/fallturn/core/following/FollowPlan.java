package org.fallturn.core.following;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.feed.StorePosition;

/**
 * Decides whether a node gets the changes of a replicated table from the store or from other nodes.
 *
 * <p>If all nodes watched the store (a long poll for changes), each change would end the watch of
 * each node, and all of them would call a store that is down: the number of calls would grow with
 * changes times nodes. So only a few nodes watch. They announce to the others the newest change, or
 * confirm that there is none, and the others ask their peers for the rows.
 *
 * <p>Invariants: a node asks the store itself once no node has confirmed for the trusted time that
 * the store answered, so that no node depends on its peers to keep its copy current. A node looks
 * in the store for an announced change that no peer supplies in time, and then not again for a
 * while. A confirmation counts only when it is newer than all before it, so that a node that
 * repeats an old one does not keep others from asking the store.
 *
 * <p>Not thread-safe: only the thread that follows the table calls it.
 */
public final class FollowPlan {

  private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long LONGEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** Short, since the node refuses requests until it has read the table for the first time. */
  private static final long PAUSE_WITHOUT_TABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /**
   * Delay before a relay is asked for the first time: it announces a change before it has the rows,
   * which it must first ask another node for.
   */
  private static final long ASK_RELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Delay before the same node is asked for the second time. */
  private static final long ASK_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  /** The longest time that the store holds a watch open. */
  private static final long LONGEST_WATCH_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final FollowBounds bounds;
  private long pauseNanos = FIRST_PAUSE_NANOS;
  private boolean failing;
  private boolean askPeersFirst;
  private long retryAtNanos;
  private long soonRetryAtNanos;
  private int failedAsks;
  private long askingSinceNanos;
  private boolean peersFailed;
  private boolean tooLarge;
  private StorePosition missingChange = StorePosition.NONE;
  private long missingSinceNanos;
  private boolean hasHeardPeer;
  private boolean hasTable;
  private long hasTableSinceNanos;

  /** Creates a plan for one table. */
  public FollowPlan(FollowBounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Returns what the follower of the table does next.
   *
   * @param state what the node knows now
   * @param nowNanos the present time
   */
  public FollowStep next(FollowState state, long nowNanos) {
    observe(state, nowNanos);
    if (askPeersFirst) {
      askPeersFirst = false;
      return FollowStep.askAny();
    }
    if (failing && nowNanos - retryAtNanos < 0) {
      return untilRetry(state, nowNanos);
    }
    if (!state.known()) {
      return FollowStep.readWhole();
    }
    if (reliesOnPeers(state, nowNanos)) {
      return fromPeers(state, nowNanos);
    }
    return state.wholeDue()
        ? FollowStep.readWhole()
        : FollowStep.watch(watchNanos(state, nowNanos));
  }

  private void observe(FollowState state, long nowNanos) {
    hasHeardPeer |= !state.order().alone();
    if (state.known() && !hasTable) {
      hasTable = true;
      hasTableSinceNanos = nowNanos;
    }
  }

  /**
   * Returns the step while the store does not answer this node: when an announced change is
   * missing, the node asks its peers in turn until one has it. If none has, it also tries the store
   * again soon.
   */
  private FollowStep untilRetry(FollowState state, long nowNanos) {
    long left = retryAtNanos - nowNanos;
    if (!state.known() || !isBehind(state, nowNanos)) {
      return FollowStep.listen(left);
    }
    if (!askedAll(state) && !peersTakeTooLong(nowNanos)) {
      return askNext(state, nowNanos);
    }
    failedAsks = 0;
    peersFailed = true;
    if (soonRetryAtNanos - retryAtNanos < 0) {
      retryAtNanos = soonRetryAtNanos;
    }
    return FollowStep.listen(Math.min(left, FIRST_PAUSE_NANOS));
  }

  /** Returns whether the node can get all changes from its peers and need not call the store. */
  private boolean reliesOnPeers(FollowState state, long nowNanos) {
    WatchOrder order = state.order();
    if (order.alone()) {
      return mayHearSoon(state, nowNanos);
    }
    if (isBehind(state, nowNanos)) {
      return !tooLarge && !peersFailed && !askedAll(state) && !peersTakeTooLong(nowNanos);
    }
    boolean confirmed = othersConfirm(state) || state.sinceOwnNanos() < settleNanos();
    return confirmed && !watches(order);
  }

  private boolean othersConfirm(FollowState state) {
    return state.sinceOthersNanos() < takeOverNanos(state);
  }

  /**
   * How long a node that has taken over waits for a confirmation of another: of several nodes that
   * took over at once, one goes on watching, and the others hear of it in this time.
   */
  private long settleNanos() {
    return bounds.confirmNanos() / 4;
  }

  /**
   * Returns whether the node should wait for its peers before it watches: nodes that all start at
   * once have read the store and are about to hear each other.
   */
  private boolean mayHearSoon(FollowState state, long nowNanos) {
    boolean soon = nowNanos - hasTableSinceNanos < bounds.confirmNanos() / 2;
    return soon && !hasHeardPeer && state.order().hasSeeds();
  }

  private FollowStep fromPeers(FollowState state, long nowNanos) {
    if (isBehind(state, nowNanos) && !askedAll(state)) {
      return askNext(state, nowNanos);
    }
    long left =
        othersConfirm(state)
            ? takeOverNanos(state) - state.sinceOthersNanos()
            : settleNanos() - state.sinceOwnNanos();
    return FollowStep.listen(Math.min(left, bounds.confirmNanos() / 2));
  }

  /**
   * Asks the nodes that should have the change first, then any node that was heard, since the store
   * may answer none of the former.
   */
  private FollowStep askNext(FollowState state, long nowNanos) {
    if (failedAsks == 0) {
      askingSinceNanos = nowNanos;
    }
    if (tooLarge || failedAsks >= state.order().askable().size()) {
      return FollowStep.askAny();
    }
    return FollowStep.ask(failedAsks, askAfterNanos(state.order().askable()));
  }

  private long askAfterNanos(List<NetworkAddress> askable) {
    NetworkAddress asked = askable.get(failedAsks);
    if (failedAsks > 0 && askable.get(failedAsks - 1).equals(asked)) {
      return ASK_AGAIN_NANOS;
    }
    boolean twice = askable.lastIndexOf(asked) > failedAsks;
    return twice ? ASK_RELAY_NANOS : 0;
  }

  /**
   * Returns whether peers have been asked in vain for so long that the node should go to the store.
   * Each peer that does not answer costs a timeout, and asking all of them in turn may take longer
   * than the time within which a change must take effect.
   */
  private boolean peersTakeTooLong(long nowNanos) {
    return failedAsks > 0 && nowNanos - askingSinceNanos >= bounds.maxAskingNanos();
  }

  private boolean askedAll(FollowState state) {
    return failedAsks > state.order().askable().size();
  }

  private boolean watches(WatchOrder order) {
    return order.rank() < bounds.watchers();
  }

  private long takeOverNanos(FollowState state) {
    return bounds.takeOverNanos(state.order());
  }

  /**
   * Returns whether another node has announced a change that this one does not have. A change that
   * was not in the store when this node looked does not count for a while.
   */
  public boolean isBehind(FollowState state, long nowNanos) {
    boolean stillMissing = nowNanos - missingSinceNanos < bounds.longestWaitNanos();
    boolean checked = stillMissing && !state.newest().isAfter(missingChange);
    return !checked && state.newest().isAfter(state.position());
  }

  private long watchNanos(FollowState state, long nowNanos) {
    WatchOrder order = state.order();
    if (order.alone()) {
      return bounds.longestWaitNanos();
    }
    boolean stale = state.ageNanos() >= takeOverNanos(state);
    if (stale || isBehind(state, nowNanos)) {
      return 0;
    }
    if (order.rank() > 0 && othersConfirm(state)) {
      return LONGEST_WATCH_NANOS;
    }
    return Math.max(0, bounds.ownConfirmNanos(order) - state.sinceOwnNanos());
  }

  /**
   * Returns whether a running watch can still be relied on, or the store may have stopped answering
   * it.
   *
   * @param state what the node knows now
   * @param heldNanos how long the watch has run
   */
  public boolean trusts(FollowState state, long heldNanos) {
    WatchOrder order = state.order();
    boolean confirmed = !order.alone() && state.ageNanos() < takeOverNanos(state);
    return confirmed || heldNanos < bounds.silenceNanos(order);
  }

  /** Records that the store answered this node. */
  public void onAnswered() {
    failing = false;
    peersFailed = false;
    pauseNanos = FIRST_PAUSE_NANOS;
  }

  /**
   * Records that the store answered a call made after another node had announced a change. If the
   * answer does not reach that change, the store does not have it.
   *
   * @param announced the newest change that had been announced before the call
   * @param position the position reached by the answer, which may be before that of the change
   *     after the store lost history
   * @param nowNanos the present time
   */
  public void onChangeChecked(StorePosition announced, StorePosition position, long nowNanos) {
    if (announced.isAfter(position)) {
      missingChange = announced;
      missingSinceNanos = nowNanos;
    }
    failedAsks = 0;
    tooLarge = false;
  }

  /**
   * Records that a watch missed a change that other nodes have seen, so that these are asked before
   * the store.
   */
  public void onSilent() {
    askPeersFirst = true;
  }

  /** Records that the store did not answer this node. */
  public void onFailed(FollowState state, long nowNanos) {
    failing = true;
    askPeersFirst = !state.known() || isBehind(state, nowNanos);
    failedAsks = 0;
    askingSinceNanos = nowNanos;
    peersFailed = false;
    soonRetryAtNanos = nowNanos + pauseNanos;
    retryAtNanos = nowNanos + (state.known() ? pauseNanos(state) : PAUSE_WITHOUT_TABLE_NANOS);
    pauseNanos = Math.min(2 * pauseNanos, LONGEST_PAUSE_NANOS);
  }

  /**
   * Returns the pause before the next attempt. When other nodes still get answers, they announce
   * changes to this one, so that it may call seldom.
   */
  private long pauseNanos(FollowState state) {
    WatchOrder order = state.order();
    if (order.alone() || order.nodes() <= bounds.watchers()) {
      return pauseNanos;
    }
    return othersConfirm(state) || !watches(order) ? bounds.probePauseNanos(order) : pauseNanos;
  }

  /**
   * Records that a peer has the change, which is too large for the links between nodes, so that
   * this node asks the store.
   */
  public void onTooLarge() {
    tooLarge = true;
  }

  /**
   * Records that a peer was asked.
   *
   * @param caughtUp whether its answer contained the announced change
   */
  public void onAsked(boolean caughtUp) {
    tooLarge = false;
    failedAsks = caughtUp ? 0 : failedAsks + 1;
    peersFailed &= !caughtUp;
  }
}
