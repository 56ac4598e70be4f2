package org.fallturn.core.configuration;

import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;

/**
 * One attempt to append a change to the accepted sequence. The head moves from N to N + 1 by
 * compare-and-set in the same transaction that writes the change, so that two racing attempts never
 * both commit on N. An answer lost after the write is settled by reading back the attempt id: while
 * the change at N + 1 is absent, the same transaction is sent again, which can commit at most once.
 *
 * <p>Pure and confined to one thread: each event returns the next action.
 */
public final class CommitAttempt {

  /** How often a lost answer is followed up before the outcome is reported as unknown. */
  static final int MAX_FOLLOW_UPS = 5;

  private static final int MAX_NAMED_CHANGES = 20;

  private final ProposedChange proposal;
  private final long nowMillis;
  private ConfigurationImage image;
  private HeadRow head = HeadRow.NONE;
  private ConfigurationDelta delta;
  private boolean namingConflict;
  private boolean sent;
  private boolean mayBeCommitted;
  private int followUps;

  /**
   * An attempt that has not begun.
   *
   * @param proposal the change
   * @param image an accepted image, not necessarily the newest
   * @param nowMillis wall-clock time, for the audit trail
   */
  public CommitAttempt(ProposedChange proposal, ConfigurationImage image, long nowMillis) {
    this.proposal = proposal;
    this.image = image;
    this.nowMillis = nowMillis;
  }

  /** Begins. */
  public CommitAction start() {
    return new CommitAction.ReadHead();
  }

  /** The head row has been read. */
  public CommitAction onHead(HeadRow current) {
    head = current;
    if (sent && current.version() >= delta.version()) {
      return new CommitAction.ReadDeltas(delta.version() - 1, current.version());
    }
    if (sent) {
      return new CommitAction.Commit(head, delta);
    }
    if (current.version() > image.version()) {
      return new CommitAction.ReadDeltas(image.version(), current.version());
    }
    return checkExpectedVersion();
  }

  /** Changes have been read, in order and without a gap. */
  public CommitAction onDeltas(List<ConfigurationDelta> deltas) {
    if (sent) {
      return settle(deltas);
    }
    if (namingConflict) {
      return new CommitAction.Refused(conflict(deltas));
    }
    for (ConfigurationDelta accepted : deltas) {
      if (accepted.version() == image.version() + 1) {
        image = image.apply(accepted);
      }
    }
    if (image.version() < head.version()) {
      return refuse(ErrorKind.STORE_UNAVAILABLE, "the accepted changes could not be read whole");
    }
    return checkExpectedVersion();
  }

  /** The transaction took effect. */
  public CommitAction onCommitted() {
    return new CommitAction.Accepted(delta);
  }

  /** The transaction found another head; an earlier sending of it may be the cause. */
  public CommitAction onConflict() {
    followUps++;
    return followUps > MAX_FOLLOW_UPS ? outcomeUnknown() : new CommitAction.ReadHead();
  }

  /** The store gave no usable answer to the last action. */
  public CommitAction onStoreFailure(boolean mayHaveTakenEffect) {
    if (sent && mayHaveTakenEffect) {
      mayBeCommitted = true;
    }
    if (!mayBeCommitted) {
      return refuse(ErrorKind.STORE_UNAVAILABLE, "the table service cannot be reached");
    }
    followUps++;
    return followUps > MAX_FOLLOW_UPS ? outcomeUnknown() : new CommitAction.ReadHead();
  }

  private CommitAction outcomeUnknown() {
    return refuse(
        ErrorKind.OUTCOME_UNKNOWN,
        "no answer on whether version "
            + delta.version()
            + " was accepted; look for attempt_id '"
            + proposal.attemptId()
            + "' in table changes");
  }

  /** The newest image this attempt has seen; for the caller to apply. */
  public ConfigurationImage image() {
    return image;
  }

  private boolean isExpectedVersionStale() {
    OptionalLong expected = proposal.expectedVersion();
    return expected.isPresent() && expected.getAsLong() != image.version();
  }

  private CommitAction checkExpectedVersion() {
    if (!isExpectedVersionStale()) {
      return plan();
    }
    long expected = proposal.expectedVersion().getAsLong();
    if (expected > image.version() || expected < 0) {
      return refuse(
          ErrorKind.CONFLICT,
          "expected version " + expected + " does not exist; the newest is " + image.version());
    }
    namingConflict = true;
    long after = Math.max(expected, head.version() - MAX_NAMED_CHANGES);
    return new CommitAction.ReadDeltas(after, head.version());
  }

  private CommitAction plan() {
    try {
      PlannedChange change = proposal.planner().plan(image);
      if (change.isEmpty()) {
        return new CommitAction.Unchanged(image.version());
      }
      delta = toDelta(change);
      ChangeValidator.validate(image, delta);
    } catch (FallturnException e) {
      return new CommitAction.Refused(e);
    }
    sent = true;
    return new CommitAction.Commit(head, delta);
  }

  private ConfigurationDelta toDelta(PlannedChange change) {
    return new ConfigurationDelta(
        image.version() + 1,
        proposal.attemptId(),
        proposal.operator(),
        Instant.ofEpochMilli(nowMillis),
        proposal.statement(),
        change.puts(),
        change.removals());
  }

  private CommitAction settle(List<ConfigurationDelta> deltas) {
    for (ConfigurationDelta accepted : deltas) {
      if (accepted.attemptId().equals(proposal.attemptId())) {
        return new CommitAction.Accepted(accepted);
      }
    }
    return new CommitAction.Refused(conflict(deltas));
  }

  private FallturnException conflict(List<ConfigurationDelta> deltas) {
    return new FallturnException(ErrorKind.CONFLICT, ConflictText.of(head.version(), deltas));
  }

  private static CommitAction refuse(ErrorKind kind, String message) {
    return new CommitAction.Refused(new FallturnException(kind, message));
  }
}
