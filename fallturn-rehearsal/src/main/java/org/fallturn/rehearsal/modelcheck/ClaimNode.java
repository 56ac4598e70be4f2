package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.error.Outcome;
import org.fallturn.core.idempotency.Claim;
import org.fallturn.core.idempotency.ClaimBatch;
import org.fallturn.core.idempotency.ClaimDecision;
import org.fallturn.core.idempotency.ClaimRow;
import org.fallturn.core.idempotency.StoredAnswer;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowWrite;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.core.request.AttemptFailure;
import org.fallturn.core.request.ForwardStateMachine;
import org.fallturn.rehearsal.modelcheck.ClaimScenario.CallerAnswer;

/**
 * A node in the simulation that claims keys with the core's {@link ClaimBatch} and forwards with
 * its {@link ForwardStateMachine}, as the real duties do.
 */
final class ClaimNode extends SimulatedNode {

  private static final int MAX_ROUNDS = 4;
  private static final int MAX_FORWARDS = 3;
  private static final long CLAIM_MILLIS = 8_000;
  private static final long FORWARD_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int STATUS_OK = 200;

  private final ClaimScenario.World world;

  ClaimNode(ClaimScenario.World world, String name) {
    super(world.simulation(), name);
    this.world = world;
  }

  private long wallMillis() {
    return clockNanos() / NANOS_PER_MILLI;
  }

  void onRequest(String key, Consumer<CallerAnswer> caller) {
    Claim claim =
        new Claim(
            new RowKey("claim", key),
            world.nextAttemptId(),
            new NodeId(name()),
            "body of " + key,
            wallMillis() + CLAIM_MILLIS);
    ClaimBatch batch = new ClaimBatch(List.of(claim), world.codec());
    claimRound(batch, 1, () -> onDecision(key, claim, batch.decisions().get(claim), caller));
  }

  // Claiming.

  private void claimRound(ClaimBatch batch, int round, Runnable decided) {
    Optional<TableTransaction> transaction = batch.next();
    if (transaction.isEmpty()) {
      decided.run();
      return;
    }
    if (round > MAX_ROUNDS) {
      giveUp(batch, true, decided);
      return;
    }
    world
        .table()
        .write(
            name(),
            writes(transaction.get()),
            answer -> inProcess(() -> onClaimAnswer(batch, round, answer, decided)));
  }

  private static List<SimulatedTable.Write<RowKey, String>> writes(TableTransaction transaction) {
    List<SimulatedTable.Write<RowKey, String>> writes = new ArrayList<>();
    for (RowWrite write : transaction.writes()) {
      writes.add(new SimulatedTable.Write<>(write.key(), write.expectedVersion(), write.value()));
    }
    return writes;
  }

  private void onClaimAnswer(
      ClaimBatch batch, int round, SimulatedTable.Answer<RowKey, String> answer, Runnable decided) {
    boolean guess = world.isBroken(BrokenVariant.LOST_CLAIM_GUESSED_AS_GRANTED);
    switch (answer.result()) {
      case DONE -> {
        batch.onCommitted();
        claimRound(batch, round + 1, decided);
      }
      case CONFLICT -> {
        batch.onRows(rows(answer), wallMillis());
        claimRound(batch, round + 1, decided);
      }
      case NO_EFFECT -> giveUp(batch, false, decided);
      case UNKNOWN -> {
        world.coverage().count("lost-claims");
        if (guess) {
          batch.onCommitted();
          decided.run();
        } else {
          readBack(batch, round, decided);
        }
      }
      default -> throw new IllegalStateException("unknown result " + answer.result());
    }
  }

  private void readBack(ClaimBatch batch, int round, Runnable decided) {
    world
        .table()
        .read(
            name(),
            batch.sentKeys(),
            answer ->
                inProcess(
                    () -> {
                      if (answer.result() == SimulatedTable.Result.DONE) {
                        batch.onRows(rows(answer), wallMillis());
                        claimRound(batch, round + 1, decided);
                      } else {
                        giveUp(batch, true, decided);
                      }
                    }));
  }

  private void giveUp(ClaimBatch batch, boolean mayHaveTakenEffect, Runnable decided) {
    batch
        .giveUp(mayHaveTakenEffect)
        .forEach(claim -> later(FORWARD_TIMEOUT_NANOS, () -> free(claim)));
    decided.run();
  }

  /** A claim that may have been written although its attempt was refused: release it. */
  private void free(Claim claim) {
    world
        .table()
        .read(
            name(),
            List.of(claim.key()),
            answer ->
                inProcess(
                    () -> {
                      for (TableRow row : rows(answer)) {
                        world
                            .codec()
                            .decode(row)
                            .filter(found -> found.attemptId().equals(claim.attemptId()))
                            .filter(found -> found.state() == ClaimRow.State.CLAIMED)
                            .ifPresent(found -> release(claim, row.version()));
                      }
                    }));
  }

  private void release(Claim claim, long version) {
    settle(claim, version, ClaimRow.State.RELEASED, Optional.empty());
  }

  private void settle(
      Claim claim, long version, ClaimRow.State state, Optional<StoredAnswer> answer) {
    String text = world.codec().encode(claim.toRow().with(state, answer));
    world
        .table()
        .write(
            name(),
            List.of(new SimulatedTable.Write<>(claim.key(), version, text)),
            ignored -> world.coverage().count("settlements"));
  }

  private static List<TableRow> rows(SimulatedTable.Answer<RowKey, String> answer) {
    List<TableRow> rows = new ArrayList<>();
    for (Map.Entry<RowKey, SimulatedTable.Row<String>> entry : answer.rows().entrySet()) {
      rows.add(new TableRow(entry.getKey(), entry.getValue().version(), entry.getValue().value()));
    }
    return rows;
  }

  // Running.

  private void onDecision(
      String key, Claim claim, ClaimDecision decision, Consumer<CallerAnswer> caller) {
    if (decision instanceof ClaimDecision.Granted granted) {
      forward(key, claim, granted.rowVersion(), caller);
    } else if (decision instanceof ClaimDecision.Replay replay) {
      world.coverage().count("replays");
      caller.accept(new CallerAnswer(CallerAnswer.Kind.DONE, text(replay.answer())));
    } else if (decision instanceof ClaimDecision.StoreUnavailable) {
      onStoreUnavailable(key, claim, caller);
    } else {
      caller.accept(new CallerAnswer(CallerAnswer.Kind.UNKNOWN, ""));
    }
  }

  private void onStoreUnavailable(String key, Claim claim, Consumer<CallerAnswer> caller) {
    if (world.isBroken(BrokenVariant.CLAIM_SKIPPED)) {
      forward(key, claim, 0, caller);
      return;
    }
    world.onNotRun(claim.attemptId());
    caller.accept(new CallerAnswer(CallerAnswer.Kind.NOT_RUN, ""));
  }

  private void forward(String key, Claim claim, long version, Consumer<CallerAnswer> caller) {
    boolean repeats = world.isBroken(BrokenVariant.RETRY_AFTER_FIRST_BYTE);
    ForwardStateMachine machine = new ForwardStateMachine(repeats, MAX_FORWARDS);
    forwardTo(0, key, claim, version, machine, caller);
  }

  private void forwardTo(
      int index,
      String key,
      Claim claim,
      long version,
      ForwardStateMachine machine,
      Consumer<CallerAnswer> caller) {
    String backEnd = world.backEnds().get(index % world.backEnds().size());
    boolean[] ended = {false};
    Consumer<AttemptFailure.Kind> onFailure =
        kind -> {
          if (!ended[0]) {
            ended[0] = true;
            onForwardFailed(index, key, claim, version, machine, caller, kind);
          }
        };
    if (simulation().isCut(name(), backEnd)) {
      onFailure.accept(AttemptFailure.Kind.NOT_SENT);
      return;
    }
    simulation()
        .sendOnce(
            name(),
            backEnd,
            () -> {
              String answer = world.execute(key, claim.attemptId());
              simulation()
                  .sendOnce(
                      backEnd,
                      name(),
                      () ->
                          inProcess(
                              () -> {
                                if (!ended[0]) {
                                  ended[0] = true;
                                  onAnswer(claim, version, answer, caller);
                                }
                              }));
            });
    later(FORWARD_TIMEOUT_NANOS, () -> onFailure.accept(AttemptFailure.Kind.STALLED));
  }

  private void onAnswer(Claim claim, long version, String answer, Consumer<CallerAnswer> caller) {
    StoredAnswer stored =
        new StoredAnswer(
            STATUS_OK, "text/plain", answer.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    settle(claim, version, ClaimRow.State.FINISHED, Optional.of(stored));
    caller.accept(new CallerAnswer(CallerAnswer.Kind.DONE, answer));
  }

  private void onForwardFailed(
      int index,
      String key,
      Claim claim,
      long version,
      ForwardStateMachine machine,
      Consumer<CallerAnswer> caller,
      AttemptFailure.Kind kind) {
    boolean dishonest = world.isBroken(BrokenVariant.NOT_RUN_SAID_AFTER_SEND);
    AttemptFailure.Kind told = dishonest ? AttemptFailure.Kind.NOT_SENT : kind;
    ForwardStateMachine.Decision decision = machine.onFailure(new AttemptFailure(told, "failed"));
    if (decision instanceof ForwardStateMachine.TryAnother && !dishonest) {
      forwardTo(index + 1, key, claim, version, machine, caller);
      return;
    }
    boolean notRun =
        dishonest
            || decision instanceof ForwardStateMachine.GiveUp given
                && given.kind().outcome() == Outcome.NOT_RUN;
    if (notRun) {
      world.onNotRun(claim.attemptId());
      release(claim, version);
      caller.accept(new CallerAnswer(CallerAnswer.Kind.NOT_RUN, ""));
    } else {
      settle(claim, version, ClaimRow.State.FINISHED, Optional.empty());
      caller.accept(new CallerAnswer(CallerAnswer.Kind.UNKNOWN, ""));
    }
  }

  private static String text(StoredAnswer answer) {
    return new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8);
  }
}
