package org.fallturn.core.configuration;

import org.fallturn.core.error.FallturnException;

/** What a {@link CommitAttempt} wants done next. */
public sealed interface CommitAction {

  /** Read the head row, then call {@link CommitAttempt#onHead}. */
  record ReadHead() implements CommitAction {}

  /**
   * Read accepted changes, then call {@link CommitAttempt#onDeltas}.
   *
   * @param afterVersion only those above this version
   * @param upToVersion and up to this one
   */
  record ReadDeltas(long afterVersion, long upToVersion) implements CommitAction {}

  /**
   * Write the delta row and move the head in one transaction, then call {@link
   * CommitAttempt#onCommitted}, {@link CommitAttempt#onConflict} or {@link
   * CommitAttempt#onStoreFailure}.
   *
   * @param head the head row that must still be in place
   * @param delta the change; its version is the new head
   */
  record Commit(HeadRow head, ConfigurationDelta delta) implements CommitAction {}

  /**
   * Final: the change is committed.
   *
   * @param delta the accepted change
   */
  record Accepted(ConfigurationDelta delta) implements CommitAction {}

  /**
   * Final: the change does nothing on the newest image, so nothing was written.
   *
   * @param version the newest version
   */
  record Unchanged(long version) implements CommitAction {}

  /**
   * Final: the change is refused.
   *
   * @param error the reason
   */
  record Refused(FallturnException error) implements CommitAction {}
}
