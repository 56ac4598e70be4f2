package org.fallturn.core.peers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.following.FollowBounds;
import org.fallturn.core.following.FollowPlan;
import org.fallturn.core.following.FollowState;
import org.fallturn.core.following.FollowStep;
import org.fallturn.core.peers.SimulatedFleet.Node;
import org.fallturn.core.port.feed.StorePosition;

/**
 * Nodes of a simulated fleet that follow one table of a store, each by its own {@link FollowPlan}.
 */
final class FollowedFleet {

  static final String TABLE = "engines";

  private static final FollowBounds BOUNDS =
      FollowBounds.of(Duration.ofSeconds(3), Duration.ofSeconds(4));
  private static final int STEP_MILLIS = 5;
  private static final int PAUSE_AFTER_CHANGE_MILLIS = 250;
  private static final int MIN_HELD_MILLIS = 300;
  private static final int CALL_TIMEOUT_MILLIS = 1_000;

  final SimulatedFleet fleet;
  final Map<NetworkAddress, Follower> followers = new HashMap<>();
  StorePosition store = at(1);
  int calls;

  /** How the store treats a node. */
  enum Access {
    SERVED,
    REFUSED,
    SILENT
  }

  static StorePosition at(long version) {
    return new StorePosition(1, version);
  }

  FollowedFleet(SimulatedFleet fleet) {
    this.fleet = fleet;
    fleet.nodes().forEach(node -> followers.put(node.info.address(), new Follower(node)));
  }

  void run(int millis) {
    for (int passed = 0; passed < millis; passed += STEP_MILLIS) {
      fleet.run(STEP_MILLIS);
      followers.values().stream().filter(follower -> !follower.killed).forEach(Follower::run);
    }
  }

  /**
   * Changes the table and runs the fleet until all running nodes know the change.
   *
   * @param mostMillis the longest time to run, in ms
   * @return the time until then in ms; {@code mostMillis} when some node does not know it by then
   */
  int millisUntilChangeIsKnown(int mostMillis) {
    store = store.atVersion(store.version() + 1);
    for (int passed = 0; passed < mostMillis; passed += STEP_MILLIS) {
      if (behind().isEmpty()) {
        return passed;
      }
      run(STEP_MILLIS);
    }
    return mostMillis;
  }

  /** Restores the store from a copy that is some changes old. */
  void restoreStore(int lostChanges) {
    store = new StorePosition(store.era() + 1, store.version() - lostChanges);
  }

  List<Follower> behind() {
    return followers.values().stream()
        .filter(follower -> !follower.killed && store.isAfter(follower.position))
        .toList();
  }

  /** The followers that rank first as watchers, each by its own view. */
  List<Follower> firstWatchers(int count) {
    List<Follower> ranked = new ArrayList<>(followers.values());
    ranked.sort((a, b) -> Integer.compare(a.rank(), b.rank()));
    return ranked.subList(0, count);
  }

  int callsWhile(Runnable action) {
    int before = calls;
    action.run();
    return calls - before;
  }

  /** One node that follows the table. */
  final class Follower {
    final Node node;
    private final FollowPlan plan = new FollowPlan(BOUNDS);
    Access access = Access.SERVED;
    boolean killed;
    StorePosition position = StorePosition.NONE;
    private FollowStep step;
    private FollowState sight;
    private long stepStartNanos;
    private long idleUntilNanos;
    private long answeredNanos = -1;
    private int turn;

    Follower(Node node) {
      this.node = node;
    }

    int rank() {
      return node.overlay.watchOrder().rank();
    }

    void kill() {
      killed = true;
      fleet.kill(node);
    }

    private FollowState currentSight(long now) {
      return new FollowState(
          !position.equals(StorePosition.NONE),
          position.equals(StorePosition.NONE),
          position,
          node.overlay.tables().newest(TABLE),
          answeredNanos < 0 ? Long.MAX_VALUE : now - answeredNanos,
          node.overlay.tables().sinceConfirmedByOthers(TABLE, now),
          node.overlay.watchOrder());
    }

    private void run() {
      long now = fleet.nowNanos();
      if (now < idleUntilNanos && !plan.isBehind(currentSight(now), now)) {
        return;
      }
      if (step == null) {
        sight = currentSight(now);
        step = plan.next(sight, now);
        stepStartNanos = now;
        calls += step.kind().source() == FollowStep.Source.STORE ? 1 : 0;
      }
      if (runStep(now)) {
        step = null;
      }
    }

    /** Runs the present step and returns whether it is over. */
    private boolean runStep(long now) {
      boolean timeIsUp = now - stepStartNanos >= step.nanos();
      return switch (step.kind()) {
        case LISTEN -> timeIsUp || currentSight(now).newest().isAfter(sight.newest());
        case ASK -> timeIsUp && askNodes();
        default -> call(timeIsUp, now);
      };
    }

    private boolean askNodes() {
      for (NetworkAddress address : nodesToAsk()) {
        Follower peer = followers.get(address);
        position = peer.killed ? position : StorePosition.max(position, peer.position);
      }
      plan.onAsked(!sight.newest().isAfter(position));
      return true;
    }

    private List<NetworkAddress> nodesToAsk() {
      if (step.candidate() >= 0) {
        return List.of(sight.order().askable().get(step.candidate()));
      }
      List<NetworkAddress> heard = new ArrayList<>(node.overlay.askable());
      Collections.rotate(heard, turn++);
      return heard.subList(0, Math.min(4, heard.size()));
    }

    private boolean call(boolean timeIsUp, long now) {
      if (access == Access.REFUSED) {
        plan.onFailed(currentSight(now), now);
        return true;
      }
      if (access == Access.SILENT) {
        return waitForSilentStore(now);
      }
      if (!timeIsUp && store.equals(position)) {
        return !plan.trusts(currentSight(now), now - stepStartNanos);
      }
      if (store.isAfter(position)) {
        idleUntilNanos = now + TimeUnit.MILLISECONDS.toNanos(PAUSE_AFTER_CHANGE_MILLIS);
        node.overlay.tables().onSeen(TABLE, store);
      }
      position = store;
      answeredNanos = now;
      node.overlay.tables().onConfirmed(TABLE, position, fleet.millis());
      plan.onAnswered();
      plan.onChangeChecked(sight.newest(), position, now);
      return true;
    }

    private boolean waitForSilentStore(long now) {
      long held = now - stepStartNanos;
      FollowState seen = currentSight(now);
      if (held >= step.nanos() + TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS)) {
        plan.onFailed(seen, now);
        return true;
      }
      if (held >= TimeUnit.MILLISECONDS.toNanos(MIN_HELD_MILLIS) && plan.isBehind(seen, now)) {
        plan.onSilent();
        return true;
      }
      return !plan.trusts(seen, held);
    }
  }
}
