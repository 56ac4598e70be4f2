package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.dispatch.Requests.START;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.pace.RecentPace;
import org.fallturn.core.pace.ServerLoad;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What is known of an engine's pace, in the decisions of one node. */
class PaceInDispatchTest {

  private static final int REQUESTS = 12;

  private final ServingEngine first =
      Requests.engine("a-1", Requests.APPLICATION, EngineStage.NONE);
  private final ServingEngine second =
      Requests.engine("a-2", Requests.APPLICATION, EngineStage.NONE);
  private final ServingEngine reader = Requests.engine("p-1", Requests.MODEL, EngineStage.PREFILL);
  private final ServingEngine decoder = Requests.engine("d-1", Requests.MODEL, EngineStage.DECODE);

  @BeforeEach
  void sameNames() {
    Requests.numberFrom(1);
  }

  private static long after(long millis) {
    return START + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static ServerLoad paceOf(int percent) {
    return new ServerLoad(1, 0, 8, OptionalInt.of(percent));
  }

  /** Requests that stay, of which so many go to the first engine. */
  private long sentToFirst(Dispatcher dispatcher, long nowNanos) {
    long sent = 0;
    for (int request = 0; request < REQUESTS; request++) {
      RequestProgress progress = Requests.applicationAt(nowNanos, RequestKind.NON_IDEMPOTENT, 1);
      dispatcher.start(progress, nowNanos);
      sent += progress.engine().orElseThrow().id().equals(first.id()) ? 1 : 0;
    }
    return sent;
  }

  private static void tell(Dispatcher dispatcher, int sequence, long nowNanos) {
    EngineDigest digest =
        new EngineDigest(0, 0, List.of(), 0, 0, 10).withPace(RecentPace.of(300, 40));
    LoadDigest told =
        new LoadDigest("node-2", 1, sequence, Map.of("a-1", digest), List.of(), Map.of());
    Requests.receive(dispatcher, told, nowNanos);
  }

  @Test
  void engineThatSaysThatItIsSlowGetsFewer() {
    Dispatcher dispatcher = Requests.dispatcher(first, second);
    dispatcher.notices().reportedLoads().onLoadReported("a-1", paceOf(300), START);
    assertThat(sentToFirst(dispatcher, START)).isLessThanOrEqualTo(REQUESTS / 3);
  }

  @Test
  void engineThatOthersFindSlowGetsFewerUntilTheyFallSilent() {
    Dispatcher told = Requests.dispatcher(first, second);
    Dispatcher silent = Requests.dispatcher(first, second);
    for (int turn = 0; turn < 40; turn++) {
      for (Dispatcher dispatcher : List.of(told, silent)) {
        tell(dispatcher, turn, after(100L * turn));
        dispatcher.onTick(after(100L * turn));
      }
    }
    assertThat(sentToFirst(told, after(3_950))).isLessThanOrEqualTo(REQUESTS / 3);
    silent.setDirectory(EngineDirectory.of(2, List.of(second)), after(4_000));
    silent.setDirectory(EngineDirectory.of(3, List.of(first, second)), after(7_000));
    assertThat(sentToFirst(silent, after(7_000))).isEqualTo(REQUESTS / 2);
  }

  @Test
  void nothingIsGoneByWhereNothingIsLearned() {
    Dispatcher dispatcher = Requests.dispatcher(1_000, false, first, second);
    dispatcher.notices().reportedLoads().onLoadReported("a-1", paceOf(300), START);
    tell(dispatcher, 1, START);
    dispatcher.onTick(after(50));
    assertThat(sentToFirst(dispatcher, after(60))).isEqualTo(REQUESTS / 2);
  }

  /** An engine that reads three times slower than usual was taken for silent while it read. */
  @Test
  void slowEngineIsNotTakenForDead() {
    assertThat(suspendsSlowReader(true)).isFalse();
    assertThat(suspendsSlowReader(false)).isTrue();
  }

  private boolean suspendsSlowReader(boolean learnsPace) {
    Dispatcher dispatcher = Requests.dispatcher(1_000, learnsPace, reader, decoder);
    RequestProgress progress = Requests.promptAt(START, 20_000);
    dispatcher.start(progress, START);
    assertThat(progress.engine()).contains(reader);
    boolean suspended = false;
    for (int millis = 0; millis <= 1_400; millis += 100) {
      dispatcher.notices().reportedLoads().onLoadReported("p-1", paceOf(300), after(millis));
      dispatcher.onTick(after(millis));
      suspended |=
          dispatcher.takeHealthChanges(after(millis)).stream().anyMatch(HealthChange::suspended);
    }
    return suspended;
  }
}
