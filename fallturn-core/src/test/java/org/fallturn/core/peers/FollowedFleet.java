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

/** Nodes of a simulated fleet that follow one table of a store, each by its own plan. */
final class FollowedFleet {

  static final String TABLE = "engines";

  private static final FollowBounds BOUNDS =
      FollowBounds.of(Duration.ofSeconds(3), Duration.ofSeconds(4));
  private static final int STEP_MILLIS = 5;
  private static final int GATHER_MILLIS = 250;
  private static final int BEHIND_MILLIS = 300;
  private static final int CALL_MILLIS = 1_000;

  final SimulatedFleet fleet;
  final Map<NetworkAddress, Follower> followers = new HashMap<>();
  long storeVersion = 1;
  int calls;

  /** How the store treats a node. */
  enum Access {
    SERVED,
    REFUSED,
    SILENT
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

  /** The store takes a change; how long until all that run know it, at the most as long as said. */
  int changeKnownAfter(int mostMillis) {
    storeVersion++;
    for (int passed = 0; passed < mostMillis; passed += STEP_MILLIS) {
      if (behind().isEmpty()) {
        return passed;
      }
      run(STEP_MILLIS);
    }
    return mostMillis;
  }

  List<Follower> behind() {
    return followers.values().stream()
        .filter(follower -> !follower.killed && follower.position < storeVersion)
        .toList();
  }

  /** Those who come first in the order of watchers, as the first of them sees it. */
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

  /** One node. */
  final class Follower {
    final Node node;
    private final FollowPlan plan = new FollowPlan(BOUNDS);
    Access access = Access.SERVED;
    boolean killed;
    long position;
    private FollowStep step;
    private FollowState sight;
    private long begunNanos;
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

    private FollowState look(long now) {
      return new FollowState(
          position > 0,
          position == 0,
          position,
          node.overlay.tables().newest(TABLE),
          answeredNanos < 0 ? Long.MAX_VALUE : now - answeredNanos,
          node.overlay.tables().sinceConfirmedByOthers(TABLE, now),
          node.overlay.watchOrder());
    }

    private void run() {
      long now = fleet.nowNanos();
      if (now < idleUntilNanos && !plan.isBehind(look(now), now)) {
        return;
      }
      if (step == null) {
        sight = look(now);
        step = plan.next(sight, now);
        begunNanos = now;
        calls += step.kind().source() == FollowStep.Source.STORE ? 1 : 0;
      }
      if (carryOut(now)) {
        step = null;
      }
    }

    /** Returns whether the step is over. */
    private boolean carryOut(long now) {
      boolean over = now - begunNanos >= step.nanos();
      return switch (step.kind()) {
        case LISTEN -> over || look(now).newest() > sight.newest();
        case ASK -> over && ask();
        default -> call(over, now);
      };
    }

    private boolean ask() {
      for (NetworkAddress address : asked()) {
        Follower peer = followers.get(address);
        position = peer.killed ? position : Math.max(position, peer.position);
      }
      plan.onAsked(position >= sight.newest());
      return true;
    }

    private List<NetworkAddress> asked() {
      if (step.candidate() >= 0) {
        return List.of(sight.order().askable().get(step.candidate()));
      }
      List<NetworkAddress> heard = new ArrayList<>(node.overlay.askable());
      Collections.rotate(heard, turn++);
      return heard.subList(0, Math.min(4, heard.size()));
    }

    private boolean call(boolean over, long now) {
      if (access == Access.REFUSED) {
        plan.onFailed(look(now), now);
        return true;
      }
      if (access == Access.SILENT) {
        return silent(now);
      }
      if (!over && storeVersion == position) {
        return !plan.trusts(look(now), now - begunNanos);
      }
      if (storeVersion > position) {
        idleUntilNanos = now + TimeUnit.MILLISECONDS.toNanos(GATHER_MILLIS);
        node.overlay.tables().onSeen(TABLE, storeVersion);
      }
      position = storeVersion;
      answeredNanos = now;
      node.overlay.tables().onConfirmed(TABLE, fleet.millis());
      plan.onAnswered();
      plan.onChangeChecked(sight.newest(), position, now);
      return true;
    }

    private boolean silent(long now) {
      long held = now - begunNanos;
      FollowState seen = look(now);
      if (held >= step.nanos() + TimeUnit.MILLISECONDS.toNanos(CALL_MILLIS)) {
        plan.onFailed(seen, now);
        return true;
      }
      if (held >= TimeUnit.MILLISECONDS.toNanos(BEHIND_MILLIS) && plan.isBehind(seen, now)) {
        plan.onSilent();
        return true;
      }
      return !plan.trusts(seen, held);
    }
  }
}
