package org.fallturn.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Plays a {@link CommitAttempt} against an accepted sequence in memory, with faults on demand. */
final class SimulatedTable {

  final List<ConfigurationDelta> accepted = new ArrayList<>();

  /** Whether the answer to the given action is lost after it took effect. */
  Predicate<CommitAction> losesAnswer = action -> false;

  /** Whether the given action fails before it reaches the table. */
  Predicate<CommitAction> isDown = action -> false;

  /** Runs an attempt to its end. */
  CommitAction run(CommitAttempt attempt) {
    CommitAction action = attempt.start();
    for (int steps = 0; !isFinal(action); steps++) {
      if (steps > 100) {
        throw new AssertionError("the attempt does not end");
      }
      action = step(attempt, action);
    }
    return action;
  }

  /** Performs one action. */
  CommitAction step(CommitAttempt attempt, CommitAction action) {
    if (isDown.test(action)) {
      return attempt.onStoreFailure(false);
    }
    boolean conflict = action instanceof CommitAction.Commit commit && !append(commit);
    if (losesAnswer.test(action)) {
      return attempt.onStoreFailure(true);
    }
    if (action instanceof CommitAction.ReadHead) {
      return attempt.onHead(head());
    } else if (action instanceof CommitAction.ReadDeltas read) {
      return attempt.onDeltas(
          List.copyOf(accepted.subList((int) read.afterVersion(), (int) read.upToVersion())));
    }
    return conflict ? attempt.onConflict() : attempt.onCommitted();
  }

  HeadRow head() {
    return new HeadRow(accepted.size(), accepted.size());
  }

  private boolean append(CommitAction.Commit commit) {
    if (commit.head().rowVersion() != accepted.size()) {
      return false;
    }
    accepted.add(commit.delta());
    return true;
  }

  private static boolean isFinal(CommitAction action) {
    return action instanceof CommitAction.Accepted
        || action instanceof CommitAction.Unchanged
        || action instanceof CommitAction.Refused;
  }
}
