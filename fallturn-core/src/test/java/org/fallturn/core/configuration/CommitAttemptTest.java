package org.fallturn.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.junit.jupiter.api.Test;

class CommitAttemptTest {

  private final SimulatedTable table = new SimulatedTable();

  @Test
  void commitsOnNewestHeadAlthoughLocalImageIsOld() {
    table.accepted.add(Records.delta(1, Records.tenant("alava")));
    table.accepted.add(Records.delta(2, Records.service("suggest")));

    CommitAction end = table.run(attempt("a", Records.rule("alava", "suggest")));

    assertThat(end).isInstanceOf(CommitAction.Accepted.class);
    assertThat(table.accepted).hasSize(3);
    assertThat(table.accepted.get(2).version()).isEqualTo(3);
  }

  @Test
  void ofTwoRacingAttemptsOneCommitsAndOtherLearnsWhatChanged() {
    CommitAttempt first = attempt("first", Records.tenant("alava"));
    CommitAttempt second = attempt("second", Records.tenant("guatemala"));
    CommitAction firstCommit = first.onHead(table.head());
    CommitAction secondCommit = second.onHead(table.head());

    assertThat(table.step(first, firstCommit)).isInstanceOf(CommitAction.Accepted.class);
    CommitAction reread = table.step(second, secondCommit);
    CommitAction end = table.step(second, table.step(second, reread));

    FallturnException error = refusal(end);
    assertThat(error.kind()).isEqualTo(ErrorKind.CONFLICT);
    assertThat(error.getMessage()).contains("version 1 by ana changed tenant 'alava'");
    assertThat(table.accepted).hasSize(1);
  }

  @Test
  void lostAnswerAfterWriteIsSettledByAttemptId() {
    loseFirstCommitAnswers(1);

    CommitAction end = table.run(attempt("a", Records.tenant("alava")));

    assertThat(end).isInstanceOf(CommitAction.Accepted.class);
    assertThat(table.accepted).hasSize(1);
  }

  @Test
  void lostAnswerIsSettledAlsoWhenOthersCommittedSince() {
    CommitAttempt attempt = attempt("mine", Records.tenant("alava"));
    CommitAction commit = attempt.onHead(table.head());
    table.losesAnswer = action -> action instanceof CommitAction.Commit;
    CommitAction next = table.step(attempt, commit);
    table.accepted.add(Records.delta(2, Records.tenant("guatemala")));

    next = table.step(attempt, table.step(attempt, next));

    assertThat(next).isInstanceOf(CommitAction.Accepted.class);
    assertThat(((CommitAction.Accepted) next).delta().version()).isEqualTo(1);
  }

  @Test
  void writeThatNeverArrivedIsSentAgain() {
    CommitAttempt attempt = attempt("a", Records.tenant("alava"));
    CommitAction commit = attempt.onHead(table.head());
    CommitAction next = attempt.onStoreFailure(true);

    CommitAction again = table.step(attempt, next);

    assertThat(commit).isInstanceOf(CommitAction.Commit.class);
    assertThat(again).isInstanceOf(CommitAction.Commit.class);
    assertThat(table.step(attempt, again)).isInstanceOf(CommitAction.Accepted.class);
  }

  @Test
  void storeDownBeforeWriteIsRefusedAsNotRun() {
    table.isDown = action -> true;

    FallturnException error = refusal(table.run(attempt("a", Records.tenant("alava"))));

    assertThat(error.kind()).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
    assertThat(table.accepted).isEmpty();
  }

  @Test
  void outcomeIsUnknownWhenStoreStaysAwayAfterWrite() {
    table.losesAnswer = action -> action instanceof CommitAction.Commit;
    table.isDown = action -> !table.accepted.isEmpty();

    FallturnException error = refusal(table.run(attempt("my-id", Records.tenant("alava"))));

    assertThat(error.kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    assertThat(error.getMessage()).contains("my-id");
  }

  @Test
  void staleExpectedVersionIsConflictThatNamesChanges() {
    table.accepted.add(Records.delta(1, Records.tenant("alava")));
    table.accepted.add(Records.delta(2, Records.tenant("guatemala")));
    ConfigurationImage current =
        ConfigurationImage.EMPTY.apply(table.accepted.get(0)).apply(table.accepted.get(1));
    ProposedChange change = proposal("a", OptionalLong.of(1), Records.service("suggest"));

    FallturnException error = refusal(table.run(new CommitAttempt(change, current, 0)));

    assertThat(error.kind()).isEqualTo(ErrorKind.CONFLICT);
    assertThat(error.getMessage()).contains("tenant 'guatemala'").doesNotContain("'alava'");
    assertThat(table.accepted).hasSize(2);
  }

  @Test
  void conflictNamesAllChangesSinceExpectedVersionAlsoWhenLocalImageIsOld() {
    for (int version = 1; version <= 5; version++) {
      table.accepted.add(Records.delta(version, Records.tenant("tenant-" + version)));
    }
    ConfigurationImage second =
        ConfigurationImage.EMPTY.apply(table.accepted.get(0)).apply(table.accepted.get(1));

    ProposedChange seenFirst = proposal("a", OptionalLong.of(1), Records.service("suggest"));
    ProposedChange seenFourth = proposal("b", OptionalLong.of(4), Records.service("suggest"));

    assertThat(refusal(table.run(new CommitAttempt(seenFirst, second, 0))).getMessage())
        .contains("tenant-2", "tenant-3", "tenant-4", "tenant-5")
        .doesNotContain("tenant-1");
    assertThat(refusal(table.run(new CommitAttempt(seenFourth, second, 0))).getMessage())
        .contains("tenant-5")
        .doesNotContain("tenant-4");
  }

  @Test
  void expectedVersionAboveNewestDoesNotExist() {
    ProposedChange change = proposal("a", OptionalLong.of(3), Records.tenant("alava"));

    FallturnException error =
        refusal(table.run(new CommitAttempt(change, ConfigurationImage.EMPTY, 0)));

    assertThat(error.getMessage()).isEqualTo("expected version 3 does not exist; the newest is 0");
  }

  @Test
  void changeThatDoesNothingIsNotWritten() {
    CommitAction end = table.run(attempt("a"));

    assertThat(end).isEqualTo(new CommitAction.Unchanged(0));
    assertThat(table.accepted).isEmpty();
  }

  @Test
  void invalidChangeIsRefusedWhole() {
    CommitAction end =
        table.run(attempt("a", Records.tenant("alava"), Records.rule("alava", "absent")));

    assertThat(refusal(end).kind()).isEqualTo(ErrorKind.INVALID_REQUEST);
    assertThat(table.accepted).isEmpty();
  }

  @Property(tries = 300, seed = "20261202")
  void acceptedMeansCommittedOnceWhateverAnswersAreLost(@ForAll List<Boolean> lost) {
    SimulatedTable faulty = new SimulatedTable();
    AtomicInteger calls = new AtomicInteger();
    faulty.losesAnswer =
        action -> {
          int call = calls.getAndIncrement();
          return call < lost.size() && lost.get(call);
        };

    CommitAction end = faulty.run(attempt("a", Records.tenant("alava")));

    long committed =
        faulty.accepted.stream().filter(delta -> delta.attemptId().equals("a")).count();
    if (end instanceof CommitAction.Accepted) {
      assertThat(committed).isEqualTo(1);
    } else if (refusal(end).kind() == ErrorKind.STORE_UNAVAILABLE) {
      assertThat(committed).isZero();
    } else {
      assertThat(refusal(end).kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
      assertThat(committed).isLessThanOrEqualTo(1);
    }
  }

  private void loseFirstCommitAnswers(int count) {
    AtomicInteger left = new AtomicInteger(count);
    table.losesAnswer =
        action -> action instanceof CommitAction.Commit && left.getAndDecrement() > 0;
  }

  private static CommitAttempt attempt(String attemptId, ConfigurationRecord... puts) {
    ProposedChange change = proposal(attemptId, OptionalLong.empty(), puts);
    return new CommitAttempt(change, ConfigurationImage.EMPTY, 0);
  }

  private static ProposedChange proposal(
      String attemptId, OptionalLong expected, ConfigurationRecord... puts) {
    PlannedChange planned = new PlannedChange(List.of(puts), List.of());
    return new ProposedChange(attemptId, "ana", "a statement", expected, image -> planned);
  }

  private static FallturnException refusal(CommitAction action) {
    assertThat(action).isInstanceOf(CommitAction.Refused.class);
    return ((CommitAction.Refused) action).error();
  }
}
