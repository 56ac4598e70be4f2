package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.fallturn.core.configuration.CommitAction;
import org.fallturn.core.configuration.CommitAttempt;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.HeadRow;
import org.fallturn.core.configuration.ImageProgress;
import org.fallturn.core.configuration.PlannedChange;
import org.fallturn.core.configuration.ProposedChange;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.TenantName;

/**
 * A node's configuration duties in the simulation: it commits changes and follows accepted ones.
 */
final class ConfigurationNode extends SimulatedNode {

  static final String HEAD = "head";

  private static final long TICK_NANOS = Duration.ofMillis(300).toNanos();
  private static final double CHANGE_SHARE = 0.25;
  private static final double WATCH_SHARE = 0.3;
  private static final double PEER_SHARE = 0.4;
  private static final double SNAPSHOT_SHARE = 0.05;
  private static final int TENANTS = 6;

  private final ConfigurationScenario.World world;
  private ConfigurationImage image = ConfigurationImage.EMPTY;
  private int attempts;

  ConfigurationNode(ConfigurationScenario.World world, String name) {
    super(world.simulation(), name);
    this.world = world;
  }

  static String changeKey(long version) {
    return "change/" + version;
  }

  ConfigurationImage image() {
    return image;
  }

  void start() {
    later(simulation().random().nextLong(TICK_NANOS), this::tick);
  }

  private void tick() {
    if (simulation().chance(CHANGE_SHARE)) {
      propose();
    }
    if (simulation().chance(WATCH_SHARE)) {
      watch();
    }
    if (simulation().chance(PEER_SHARE)) {
      askPeer(world.anyNode());
    }
    if (simulation().chance(SNAPSHOT_SHARE)) {
      ConfigurationImage snapshot = world.snapshot();
      simulation().send("objects", name(), () -> inProcess(() -> install(snapshot)));
    }
    later(TICK_NANOS, this::tick);
  }

  private void advance(ConfigurationImage next) {
    ConfigurationImage before = image;
    image = next;
    world.onImage(this, before, next);
  }

  private void install(ConfigurationImage other) {
    boolean lowerToo = world.isBroken(BrokenVariant.LOWER_VERSION_APPLIED);
    advance(lowerToo ? other : ImageProgress.newer(image, other));
  }

  private void askPeer(ConfigurationNode peer) {
    simulation()
        .send(
            name(),
            peer.name(),
            () ->
                peer.inProcess(
                    () -> {
                      ConfigurationImage theirs = peer.image;
                      simulation()
                          .send(peer.name(), name(), () -> inProcess(() -> install(theirs)));
                    }));
  }

  private void watch() {
    world
        .table()
        .read(
            name(),
            List.of(HEAD),
            answer ->
                inProcess(
                    () -> {
                      if (answer.result() == SimulatedTable.Result.DONE) {
                        long newest = version(answer.rows().get(HEAD).value());
                        readChanges(image.version(), newest, this::follow);
                      }
                    }));
  }

  private void follow(List<ConfigurationDelta> deltas) {
    advance(ImageProgress.afterChanges(image, deltas));
  }

  private void readChanges(
      long after, long upTo, java.util.function.Consumer<List<ConfigurationDelta>> receiver) {
    List<String> keys = new ArrayList<>();
    for (long version = after + 1; version <= upTo; version++) {
      keys.add(changeKey(version));
    }
    world
        .table()
        .read(
            name(),
            keys,
            answer ->
                inProcess(
                    () -> {
                      if (answer.result() == SimulatedTable.Result.DONE) {
                        receiver.accept(changes(keys, answer));
                      } else {
                        receiver.accept(List.of());
                      }
                    }));
  }

  private static List<ConfigurationDelta> changes(
      List<String> keys, SimulatedTable.Answer<String, Object> answer) {
    List<ConfigurationDelta> deltas = new ArrayList<>();
    for (String key : keys) {
      Object value = answer.rows().get(key).value();
      if (value == null) {
        return deltas;
      }
      deltas.add((ConfigurationDelta) value);
    }
    return deltas;
  }

  private static long version(Object head) {
    return head == null ? 0 : (Long) head;
  }

  // Committing.

  private void propose() {
    String attemptId = name() + "#" + attempts++;
    String tenant = "tenant-" + simulation().random().nextInt(TENANTS);
    double weight = 1 + attempts;
    OptionalLong expected =
        simulation().chance(0.5) ? OptionalLong.of(image.version()) : OptionalLong.empty();
    TenantRecord record = new TenantRecord(new TenantName(tenant), 10, 1000, 10, 10, weight);
    ProposedChange change =
        new ProposedChange(
            attemptId,
            "operator",
            "statement",
            expected,
            seen -> new PlannedChange(List.of(record), List.of()));
    CommitAttempt attempt = new CommitAttempt(change, image, 0);
    perform(attemptId, attempt, attempt.start());
  }

  private void perform(String attemptId, CommitAttempt attempt, CommitAction action) {
    if (action instanceof CommitAction.Accepted accepted) {
      world.onAccepted(accepted.delta());
    } else if (action instanceof CommitAction.Refused refused) {
      world.onRefused(attemptId, refused.error().kind());
    } else if (action instanceof CommitAction.ReadHead) {
      readHead(attemptId, attempt);
    } else if (action instanceof CommitAction.ReadDeltas read) {
      readDeltas(attemptId, attempt, read);
    } else if (action instanceof CommitAction.Commit commit) {
      commit(attemptId, attempt, commit);
    }
  }

  private void readHead(String attemptId, CommitAttempt attempt) {
    world
        .table()
        .read(
            name(),
            List.of(HEAD),
            answer ->
                inProcess(
                    () -> {
                      if (answer.result() != SimulatedTable.Result.DONE) {
                        perform(attemptId, attempt, attempt.onStoreFailure(false));
                        return;
                      }
                      SimulatedTable.Row<Object> row = answer.rows().get(HEAD);
                      HeadRow head = new HeadRow(row.version(), version(row.value()));
                      perform(attemptId, attempt, attempt.onHead(head));
                    }));
  }

  private void readDeltas(String attemptId, CommitAttempt attempt, CommitAction.ReadDeltas read) {
    List<String> keys = new ArrayList<>();
    for (long version = read.afterVersion() + 1; version <= read.upToVersion(); version++) {
      keys.add(changeKey(version));
    }
    world
        .table()
        .read(
            name(),
            keys,
            answer ->
                inProcess(
                    () -> {
                      boolean done = answer.result() == SimulatedTable.Result.DONE;
                      CommitAction next =
                          done
                              ? attempt.onDeltas(changes(keys, answer))
                              : attempt.onStoreFailure(false);
                      perform(attemptId, attempt, next);
                    }));
  }

  private void commit(String attemptId, CommitAttempt attempt, CommitAction.Commit commit) {
    ConfigurationDelta delta = commit.delta();
    boolean blind = world.isBroken(BrokenVariant.COMMIT_WITHOUT_COMPARE);
    String key = changeKey(delta.version());
    long headVersion = blind ? world.table().row(HEAD).version() : commit.head().rowVersion();
    long changeVersion = blind ? world.table().row(key).version() : 0;
    List<SimulatedTable.Write<String, Object>> writes =
        List.of(
            new SimulatedTable.Write<>(HEAD, headVersion, delta.version()),
            new SimulatedTable.Write<>(key, changeVersion, delta));
    world
        .table()
        .write(
            name(),
            writes,
            answer ->
                inProcess(
                    () -> perform(attemptId, attempt, afterCommit(attempt, answer.result()))));
  }

  private CommitAction afterCommit(CommitAttempt attempt, SimulatedTable.Result result) {
    boolean guess = world.isBroken(BrokenVariant.LOST_COMMIT_GUESSED_AS_FAILED);
    return switch (result) {
      case DONE -> attempt.onCommitted();
      case CONFLICT -> attempt.onConflict();
      case NO_EFFECT -> attempt.onStoreFailure(false);
      case UNKNOWN -> attempt.onStoreFailure(!guess);
    };
  }
}
