package org.fallturn.core.following;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;

/**
 * Decides whom to ask for the rows of a table. Were all nodes to watch the store, each change would
 * end the watch of each, and a store that is down would be called by all of them: calls grow with
 * changes times nodes. So a few watch; the others are told of the newest change, and that there is
 * none, and ask each other for the rows.
 *
 * <p>Invariants: a node asks the store itself once nobody has told for the trusted time that the
 * store answered, so that what is in force depends on no peer; an announced change that no peer can
 * tell is looked for in the store, and not again for a while. A confirmation counts only when it is
 * newer than all before it, so that a node that repeats an old one keeps nobody from the store.
 * Only the thread that follows the table calls.
 */
public final class FollowPlan {

  private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long LONGEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** Requests are refused while nothing is known, so that asking again is worth its price. */
  private static final long PAUSE_UNKNOWING_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** A relay tells of a change before it has the rows itself, which are one question away. */
  private static final long ASK_RELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private static final long ASK_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  /** The longest that the store holds a watch. */
  private static final long LONGEST_WATCH_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final FollowBounds bounds;
  private long pauseNanos = FIRST_PAUSE_NANOS;
  private boolean failing;
  private boolean askFirst;
  private long retryAtNanos;
  private int askedInVain;
  private boolean tooLarge;
  private long refuted;
  private long refutedAtNanos;
  private boolean heardSomebody;
  private boolean begun;
  private long begunNanos;

  /** A plan for one table. */
  public FollowPlan(FollowBounds bounds) {
    this.bounds = bounds;
  }

  /** What to do next. */
  public FollowStep next(FollowState sight, long nowNanos) {
    onSight(sight, nowNanos);
    if (askFirst) {
      askFirst = false;
      return FollowStep.askAny();
    }
    if (failing && nowNanos - retryAtNanos < 0) {
      return untilRetry(sight, nowNanos);
    }
    if (!sight.known()) {
      return FollowStep.readWhole();
    }
    if (relies(sight, nowNanos)) {
      return fromPeers(sight, nowNanos);
    }
    return sight.wholeDue()
        ? FollowStep.readWhole()
        : FollowStep.watch(watchNanos(sight, nowNanos));
  }

  private void onSight(FollowState sight, long nowNanos) {
    heardSomebody |= !sight.order().alone();
    if (sight.known() && !begun) {
      begun = true;
      begunNanos = nowNanos;
    }
  }

  /** While the store keeps a change from this node, the others are asked until one knows it. */
  private FollowStep untilRetry(FollowState sight, long nowNanos) {
    long left = retryAtNanos - nowNanos;
    if (!sight.known() || !isBehind(sight, nowNanos)) {
      return FollowStep.listen(left);
    }
    if (!askedAll(sight)) {
      return askNext(sight);
    }
    askedInVain = 0;
    return FollowStep.listen(Math.min(left, FIRST_PAUSE_NANOS));
  }

  /** Whether other nodes tell this one all that it must know. */
  private boolean relies(FollowState sight, long nowNanos) {
    WatchOrder order = sight.order();
    if (order.alone()) {
      return mayHearSoon(sight, nowNanos);
    }
    if (isBehind(sight, nowNanos)) {
      return !tooLarge && !askedAll(sight);
    }
    boolean confirmed = othersConfirm(sight) || sight.sinceOwnNanos() < settleNanos();
    return confirmed && !watches(order);
  }

  private boolean othersConfirm(FollowState sight) {
    return sight.sinceOthersNanos() < takeOverNanos(sight);
  }

  /** Of several nodes that took over at once, one goes on: the others hear of it in this time. */
  private long settleNanos() {
    return bounds.confirmNanos() / 4;
  }

  /** Nodes that all start at once have read the store and are about to hear each other. */
  private boolean mayHearSoon(FollowState sight, long nowNanos) {
    boolean soon = nowNanos - begunNanos < bounds.confirmNanos() / 2;
    return soon && !heardSomebody && sight.order().hasSeeds();
  }

  private FollowStep fromPeers(FollowState sight, long nowNanos) {
    if (isBehind(sight, nowNanos) && !askedAll(sight)) {
      return askNext(sight);
    }
    long left =
        othersConfirm(sight)
            ? takeOverNanos(sight) - sight.sinceOthersNanos()
            : settleNanos() - sight.sinceOwnNanos();
    return FollowStep.listen(Math.min(left, bounds.confirmNanos() / 2));
  }

  /** Those who should know first, and then whoever was heard, since the store may fail them all. */
  private FollowStep askNext(FollowState sight) {
    if (tooLarge || askedInVain >= sight.order().askable().size()) {
      return FollowStep.askAny();
    }
    return FollowStep.ask(askedInVain, askAfterNanos(sight.order().askable()));
  }

  private long askAfterNanos(List<NetworkAddress> askable) {
    NetworkAddress asked = askable.get(askedInVain);
    if (askedInVain > 0 && askable.get(askedInVain - 1).equals(asked)) {
      return ASK_AGAIN_NANOS;
    }
    boolean twice = askable.lastIndexOf(asked) > askedInVain;
    return twice ? ASK_RELAY_NANOS : 0;
  }

  private boolean askedAll(FollowState sight) {
    return askedInVain > sight.order().askable().size();
  }

  private boolean watches(WatchOrder order) {
    return order.rank() < bounds.watchers();
  }

  private long takeOverNanos(FollowState sight) {
    return bounds.takeOverNanos(sight.order());
  }

  /** Whether another node has seen a change that this one does not know and the store may have. */
  public boolean isBehind(FollowState sight, long nowNanos) {
    boolean holds = nowNanos - refutedAtNanos < bounds.longestWaitNanos();
    return sight.newest() > Math.max(sight.position(), holds ? refuted : 0);
  }

  private long watchNanos(FollowState sight, long nowNanos) {
    WatchOrder order = sight.order();
    if (order.alone()) {
      return bounds.longestWaitNanos();
    }
    boolean late = sight.ageNanos() >= takeOverNanos(sight);
    if (late || isBehind(sight, nowNanos)) {
      return 0;
    }
    if (order.rank() > 0 && othersConfirm(sight)) {
      return LONGEST_WATCH_NANOS;
    }
    return Math.max(0, bounds.ownConfirmNanos(order) - sight.sinceOwnNanos());
  }

  /**
   * Whether a watch that runs can still be relied on, though the store may have gone silent.
   *
   * @param heldNanos how long it has run
   */
  public boolean trusts(FollowState sight, long heldNanos) {
    WatchOrder order = sight.order();
    boolean confirmed = !order.alone() && sight.ageNanos() < takeOverNanos(sight);
    return confirmed || heldNanos < bounds.silenceNanos(order);
  }

  /** The store answered. */
  public void onAnswered() {
    failing = false;
    pauseNanos = FIRST_PAUSE_NANOS;
  }

  /**
   * The store answered after a change had been told.
   *
   * @param told the newest change that had been told before the call
   * @param position the position reached by the answer, which may lag after history was lost
   */
  public void onChangeChecked(long told, long position, long nowNanos) {
    if (told > position) {
      refuted = told;
      refutedAtNanos = nowNanos;
    }
    askedInVain = 0;
    tooLarge = false;
  }

  /** A watch brought nothing of a change that others have seen: they are asked before the store. */
  public void onSilent() {
    askFirst = true;
  }

  /** The store did not answer this node. */
  public void onFailed(FollowState sight, long nowNanos) {
    failing = true;
    askFirst = !sight.known() || isBehind(sight, nowNanos);
    askedInVain = 0;
    retryAtNanos = nowNanos + (sight.known() ? pauseNanos(sight) : PAUSE_UNKNOWING_NANOS);
    pauseNanos = Math.min(2 * pauseNanos, LONGEST_PAUSE_NANOS);
  }

  /** A served node tells all others, so that those that fail may call seldom. */
  private long pauseNanos(FollowState sight) {
    WatchOrder order = sight.order();
    if (order.alone() || order.nodes() <= bounds.watchers()) {
      return pauseNanos;
    }
    return othersConfirm(sight) || !watches(order) ? bounds.probePauseNanos(order) : pauseNanos;
  }

  /** A node knows the change, which is too large for the links of nodes: the store is asked. */
  public void onTooLarge() {
    tooLarge = true;
  }

  /**
   * Another node was asked.
   *
   * @param caughtUp whether it told the change that had been announced
   */
  public void onAsked(boolean caughtUp) {
    tooLarge = false;
    askedInVain = caughtUp ? 0 : askedInVain + 1;
  }
}
