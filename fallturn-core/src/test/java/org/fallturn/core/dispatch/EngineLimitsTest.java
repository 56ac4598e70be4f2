package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.limits.AnnouncedLimitDigest;
import org.fallturn.core.limits.LimitDigest;
import org.fallturn.core.limits.RateDigest;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;

/**
 * Engines limit the requests per second that they take from all nodes together. The nodes must keep
 * to the limit together, and send the rest to other engines.
 */
class EngineLimitsTest {

  private static final double LIMIT = 2;

  private final ServingEngine limited =
      Requests.engine("a-1", Requests.APPLICATION, EngineStage.NONE);
  private final ServingEngine other =
      Requests.engine("a-2", Requests.APPLICATION, EngineStage.NONE);

  private static long after(long millis) {
    return Requests.START + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static void announceLimit(Dispatcher dispatcher, ServingEngine engine, double perSecond) {
    EngineLimits limits = dispatcher.notices().limits();
    limits.onLimitAnnounced(engine.id(), perSecond, Requests.START, Requests.START);
  }

  /**
   * Starts one request every 20 ms, each answered at once, and returns how many of them reached an
   * engine.
   */
  private static int sentTo(ServingEngine engine, Dispatcher dispatcher, int seconds) {
    int sent = 0;
    for (long millis = 0; millis < seconds * 1_000L; millis += 20) {
      long now = after(millis);
      RequestProgress progress = Requests.applicationAt(now, RequestKind.IDEMPOTENT, 3);
      Decision decision = dispatcher.start(progress, now);
      if (decision instanceof Decision.Run run
          && dispatcher.notices().limits().tryTake(run.engine().id(), now)) {
        sent += run.engine().equals(engine) ? 1 : 0;
        dispatcher.onFinished(progress, now);
      }
      dispatcher.fleet().ownLoads(now);
    }
    return sent;
  }

  @Test
  void engineWithALimitGetsNoMoreAndTheOthersServeTheRest() {
    Dispatcher dispatcher = Requests.dispatcher(limited, other);
    dispatcher.setNodeCount(OptionalInt.of(1), true);
    announceLimit(dispatcher, limited, LIMIT);
    assertThat(sentTo(limited, dispatcher, 20)).isBetween(20, (int) (20 * LIMIT) + 2);
    assertThat(sentTo(other, dispatcher, 20)).isGreaterThan(900);
  }

  @Test
  void absurdlyHighLimitChangesNothing() {
    Dispatcher dispatcher = Requests.dispatcher(limited);
    dispatcher.setNodeCount(OptionalInt.of(338), true);
    announceLimit(dispatcher, limited, 1e30);
    dispatcher.fleet().ownLoads(after(0));
    dispatcher.fleet().ownLoads(after(100));
    int sent = 0;
    for (long millis = 2_000; millis < 4_000; millis += 20) {
      dispatcher.fleet().ownLoads(after(millis));
      RequestProgress progress = Requests.applicationAt(after(millis), RequestKind.IDEMPOTENT, 3);
      sent += dispatcher.start(progress, after(millis)) instanceof Decision.Run ? 1 : 0;
    }
    assertThat(sent).isGreaterThan(98);
    assertThat(dispatcher.notices().limits().perSecond()).isEqualTo(1e30);
  }

  @Test
  void nodeThatHearsNoOtherNodeSendsItsShare() {
    Dispatcher dispatcher = Requests.dispatcher(limited, other);
    dispatcher.setNodeCount(OptionalInt.of(8), true);
    announceLimit(dispatcher, limited, LIMIT);
    assertThat(sentTo(limited, dispatcher, 20)).isBetween(2, (int) (20 * LIMIT / 8) + 2);
  }

  @Test
  void refusalSaysWhenThereIsRoomWhereAllEnginesHaveLimits() {
    Dispatcher dispatcher = Requests.dispatcher(limited);
    dispatcher.setNodeCount(OptionalInt.of(1), true);
    announceLimit(dispatcher, limited, LIMIT);
    sentTo(limited, dispatcher, 4);
    long now = after(4_000);
    while (dispatcher.notices().limits().tryTake(limited.id(), now)) {
      now++;
    }
    Decision decision =
        dispatcher.start(Requests.applicationAt(now, RequestKind.NON_IDEMPOTENT, 1), now);
    Decision.Refuse refusal = (Decision.Refuse) decision;
    assertThat(refusal.kind()).isEqualTo(ErrorKind.NO_CAPACITY);
    assertThat(refusal.reason()).contains("limit");
    assertThat(refusal.retryAfter().orElseThrow())
        .isBetween(Duration.ofMillis(200), Duration.ofSeconds(5));
  }

  /**
   * Guards against useless work: a prompt that no engine can run would be read by a prefill engine
   * in vain, and its caller would be refused later.
   */
  @Test
  void nothingIsReadAheadWhileNoEngineHasRoomToRunIt() {
    ServingEngine reads = Requests.engine("p-1", Requests.MODEL, EngineStage.PREFILL);
    ServingEngine runs = Requests.engine("d-1", Requests.MODEL, EngineStage.DECODE);
    Dispatcher dispatcher = Requests.dispatcher(reads, runs);
    RequestProgress before = Requests.prompt(false, 10_000, 5_000);
    assertThat(dispatcher.start(before, Requests.START)).isInstanceOf(Decision.Prefill.class);
    announceLimit(dispatcher, runs, 0);
    RequestProgress progress = Requests.prompt(false, 10_000, 5_000);
    Decision decision = dispatcher.start(progress, Requests.START);
    assertThat(((Decision.Refuse) decision).kind()).isEqualTo(ErrorKind.NO_CAPACITY);
    assertThat(progress.prefillAttempts()).isZero();
  }

  @Test
  void requestDecidedBeforeTheLimitWasAnnouncedGoesElsewhere() {
    Dispatcher dispatcher = Requests.dispatcher(limited, other);
    dispatcher.setNodeCount(OptionalInt.of(8), true);
    RequestProgress progress = Requests.applicationAt(Requests.START, RequestKind.IDEMPOTENT, 3);
    ServingEngine first = ((Decision.Run) dispatcher.start(progress, Requests.START)).engine();
    announceLimit(dispatcher, first, 0);
    assertThat(dispatcher.notices().limits().tryTake(first.id(), after(1))).isFalse();
    Decision next = dispatcher.onFailure(progress, AttemptOutcome.HELD_BACK, after(1));
    assertThat(((Decision.Run) next).engine()).isNotEqualTo(first);
    assertThat(progress.possibleRuns()).isEqualTo(1);
  }

  @Test
  void restartedEngineBeginsWithoutALimit() {
    Dispatcher dispatcher = Requests.dispatcher(limited, other);
    announceLimit(dispatcher, limited, 0);
    ServingEngine again =
        Requests.engine(limited.id() + "@2", Requests.APPLICATION, EngineStage.NONE);
    dispatcher.setDirectory(EngineDirectory.of(2, List.of(again)), after(10));
    assertThat(dispatcher.notices().limits().limited(again.id())).isFalse();
    assertThat(dispatcher.notices().limits().limited(limited.id())).isTrue();
  }

  @Test
  void limitIsLearnedFromPeersAndReportedWithThisNodesShare() {
    Dispatcher dispatcher = Requests.dispatcher(limited, other);
    EngineDigest reported =
        new EngineDigest(0, 0, List.of(), 0, 0, EngineDigest.NOT_HEARD)
            .withLimit(
                new LimitDigest(
                    new RateDigest(1, 16, 0, 3),
                    new AnnouncedLimitDigest(LIMIT, 20, AnnouncedLimitDigest.NEVER)));
    Requests.receive(
        dispatcher,
        new LoadDigest("node-2", 1, 1, Map.of(limited.id(), reported), List.of(), Map.of()),
        after(100));
    assertThat(dispatcher.takeLimitChanges())
        .containsExactly(
            new LimitChange(limited.id(), OptionalDouble.of(LIMIT), NoticeSource.PEER));
    LimitDigest own = dispatcher.fleet().ownLoads(after(150)).get(limited.id()).limit();
    assertThat(own.rate().nodes()).isEqualTo(1);
    assertThat(own.announced())
        .isEqualTo(new AnnouncedLimitDigest(LIMIT, 70, AnnouncedLimitDigest.NEVER));
  }
}
