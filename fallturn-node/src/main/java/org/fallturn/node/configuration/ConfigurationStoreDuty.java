package org.fallturn.node.configuration;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import org.fallturn.core.configuration.CommitAction;
import org.fallturn.core.configuration.CommitAttempt;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.HeadRow;
import org.fallturn.core.configuration.ProposedChange;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.node.duty.DutyHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns the configuration's traffic with the platform's stores: commits proposed changes, reads the
 * head when this node is a watcher, loads and saves snapshots. Runs on its own duty thread, because
 * the stores block it for as long as they are slow.
 */
final class ConfigurationStoreDuty implements DutyHandler<ConfigurationStoreDuty.StoreEvent> {

  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationStoreDuty.class);

  /** A node that is no watcher reads the head once in so many intervals, as a backstop. */
  private static final int BACKSTOP_INTERVALS = 30;

  private final ConfigurationTable table;
  private final ConfigurationSnapshots snapshots;
  private final AppliedConfiguration applied;
  private final ConfigurationOptions options;
  private final BooleanSupplier isWatcher;
  private final AcceptedChanges accepted;
  private long nextWatchNanos;
  private long nextBackstopNanos;
  private boolean snapshotDue;
  private boolean storeDown;

  ConfigurationStoreDuty(
      ConfigurationTable table,
      ConfigurationSnapshots snapshots,
      AppliedConfiguration applied,
      ConfigurationOptions options,
      BooleanSupplier isWatcher,
      AcceptedChanges accepted) {
    this.table = table;
    this.snapshots = snapshots;
    this.applied = applied;
    this.options = options;
    this.isWatcher = isWatcher;
    this.accepted = accepted;
    this.nextWatchNanos = System.nanoTime();
    this.nextBackstopNanos = nextWatchNanos;
  }

  @Override
  public void onEvent(StoreEvent event) {
    if (event instanceof Proposal proposal) {
      commitOrFail(proposal);
    } else if (event instanceof HistoryRequest request) {
      readHistory(request);
    }
  }

  private void commitOrFail(Proposal proposal) {
    try {
      commit(proposal);
    } catch (RuntimeException e) {
      proposal.answer().completeExceptionally(e);
      throw e;
    }
  }

  private void readHistory(HistoryRequest request) {
    try {
      long newest = table.readHead().version();
      long after = Math.max(0, newest - request.changes());
      request.answer().complete(table.readDeltas(after, newest));
    } catch (StoreException e) {
      request.answer().completeExceptionally(e);
    }
  }

  @Override
  public void onTick() {
    long now = System.nanoTime();
    if (now - nextWatchNanos < 0) {
      return;
    }
    boolean backstop = now - nextBackstopNanos >= 0;
    if (isWatcher.getAsBoolean() || !applied.isLoaded() || backstop) {
      watch();
      nextBackstopNanos = now + backstopNanos();
    }
    nextWatchNanos = System.nanoTime() + options.watchInterval().toNanos();
  }

  private long backstopNanos() {
    long interval = BACKSTOP_INTERVALS * options.watchInterval().toNanos();
    return interval / 2 + ThreadLocalRandom.current().nextLong(interval);
  }

  private void watch() {
    try {
      HeadRow head = table.readHead();
      noteStore(true, "");
      if (head.version() > applied.image().version()) {
        catchUp(head);
      } else if (!applied.isLoaded()) {
        accepted.onNothingAccepted();
      }
    } catch (StoreException e) {
      noteStore(false, e.getMessage());
    }
  }

  private void catchUp(HeadRow head) throws StoreException {
    ConfigurationImage image = applied.image();
    if (head.version() - image.version() > options.snapshotEvery()) {
      image = newestOf(image, loadSnapshot());
    }
    List<ConfigurationDelta> tail = table.readDeltas(image.version(), head.version());
    accepted.onRead(image, tail);
  }

  private Optional<ConfigurationImage> loadSnapshot() {
    try {
      return snapshots.load();
    } catch (StoreException e) {
      LOG.warn("configuration: No snapshot could be read: {}.", e.getMessage());
      return Optional.empty();
    }
  }

  private static ConfigurationImage newestOf(
      ConfigurationImage image, Optional<ConfigurationImage> snapshot) {
    return snapshot.filter(saved -> saved.version() > image.version()).orElse(image);
  }

  private void noteStore(boolean reachable, String reason) {
    if (reachable && storeDown) {
      LOG.info("configuration: The table service answers again.");
    } else if (!reachable && !storeDown) {
      LOG.warn("configuration: The table service does not answer: {}.", reason);
    }
    storeDown = !reachable;
  }

  private void commit(Proposal proposal) {
    CommitAttempt attempt =
        new CommitAttempt(proposal.change(), applied.image(), System.currentTimeMillis());
    CommitAction action = attempt.start();
    while (true) {
      if (action instanceof CommitAction.Accepted done) {
        finish(proposal, attempt.image(), done.delta());
        return;
      } else if (action instanceof CommitAction.Unchanged done) {
        proposal.answer().complete(new CommitResult(done.version(), Optional.empty()));
        return;
      } else if (action instanceof CommitAction.Refused refused) {
        proposal.answer().completeExceptionally(refused.error());
        return;
      }
      action = perform(attempt, action);
    }
  }

  private CommitAction perform(CommitAttempt attempt, CommitAction action) {
    try {
      if (action instanceof CommitAction.ReadHead) {
        return attempt.onHead(table.readHead());
      } else if (action instanceof CommitAction.ReadDeltas read) {
        return attempt.onDeltas(table.readDeltas(read.afterVersion(), read.upToVersion()));
      } else if (action instanceof CommitAction.Commit commit) {
        boolean committed = table.commit(commit.head(), commit.delta());
        return committed ? attempt.onCommitted() : attempt.onConflict();
      }
      throw new IllegalStateException("not an action to perform: " + action);
    } catch (StoreException e) {
      LOG.warn("configuration: The table service gave no answer: {}.", e.getMessage());
      return attempt.onStoreFailure(e.mayHaveTakenEffect());
    }
  }

  private void finish(Proposal proposal, ConfigurationImage before, ConfigurationDelta delta) {
    LOG.info("configuration: Accepted version {} by {}.", delta.version(), delta.operator());
    accepted.onCommitted(
        before,
        delta,
        () -> proposal.answer().complete(new CommitResult(delta.version(), Optional.of(delta))));
    saveSnapshotWhenDue(before, delta);
  }

  private void saveSnapshotWhenDue(ConfigurationImage before, ConfigurationDelta delta) {
    snapshotDue |= delta.version() % options.snapshotEvery() == 0;
    if (!snapshotDue || before.version() + 1 != delta.version()) {
      return;
    }
    try {
      snapshots.save(before.apply(delta));
      snapshotDue = false;
      LOG.info("configuration: Saved a snapshot of version {}.", delta.version());
    } catch (StoreException e) {
      LOG.warn("configuration: The snapshot of version {} was not saved.", delta.version(), e);
    }
  }

  /** Where the store duty hands over what it learned. */
  interface AcceptedChanges {

    /** Changes were read from the table: first the image, then the changes after it. */
    void onRead(ConfigurationImage base, List<ConfigurationDelta> tail);

    /** The table was read and holds no change. */
    void onNothingAccepted();

    /** This node committed a change on an image; {@code whenApplied} runs once it is in force. */
    void onCommitted(ConfigurationImage base, ConfigurationDelta delta, Runnable whenApplied);
  }

  /** Work for the store duty. */
  sealed interface StoreEvent {}

  /**
   * A read of the newest changes.
   *
   * @param changes at most so many
   * @param answer completed with them in order, or with the store's failure
   */
  record HistoryRequest(int changes, CompletableFuture<List<ConfigurationDelta>> answer)
      implements StoreEvent {}

  /**
   * A change waiting to be committed.
   *
   * @param change the change
   * @param answer completed when it is committed and in force here, or refused
   */
  record Proposal(ProposedChange change, CompletableFuture<CommitResult> answer)
      implements StoreEvent {

    /** The refusal when too many changes wait. */
    static FallturnException tooMany() {
      return new FallturnException(ErrorKind.NO_CAPACITY, "too many changes wait on this node");
    }
  }
}
