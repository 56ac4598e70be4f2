package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.dispatch.Requests.MODEL;
import static org.fallturn.core.dispatch.Requests.START;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.stages.StageChange;
import org.junit.jupiter.api.Test;

/**
 * Exactly the first node that may order changes of stage does so, also while the store serves some
 * nodes and not others.
 */
class StageControlTest {

  private static final ServingEngine[] ENGINES = {
    Requests.engine("p-1", MODEL, EngineStage.PREFILL),
    Requests.engine("p-2", MODEL, EngineStage.PREFILL),
    Requests.engine("p-3", MODEL, EngineStage.PREFILL),
    Requests.engine("d-1", MODEL, EngineStage.DECODE),
    Requests.engine("d-2", MODEL, EngineStage.DECODE),
    Requests.engine("d-3", MODEL, EngineStage.DECODE),
    Requests.engine("d-4", MODEL, EngineStage.DECODE),
    Requests.engine("d-5", MODEL, EngineStage.DECODE)
  };

  private static final int TICK_MILLIS = 100;

  /** The name of the other node. It comes before node-1, the node of the dispatcher under test. */
  private static final String OTHER = "node-0";

  /** Comes after this node by name. */
  private static final String LATER = "node-9";

  private final Dispatcher dispatcher = Requests.dispatcher(ENGINES);
  private int millis;

  /**
   * Lets the other node report for some seconds that prompts wait at the prefill engines, and
   * returns the change that the dispatcher wants at the end.
   */
  private Optional<StageChange> wantedWhileOtherReports(String firstNode, int seconds) {
    Optional<StageChange> wanted = Optional.empty();
    for (int tick = 0; tick < 1_000 / TICK_MILLIS * seconds; tick++) {
      millis += TICK_MILLIS;
      long now = START + Duration.ofMillis(millis).toNanos();
      EngineDigest waiting = new EngineDigest(9, 0, List.of(0L, 40_000L), 0, 0, 0);
      Map<String, EngineDigest> engines = Map.of("p-1", waiting, "p-2", waiting, "p-3", waiting);
      LoadDigest digest =
          new LoadDigest(OTHER, 1, millis, 1, firstNode, engines, List.of(), Map.of());
      Requests.receive(dispatcher, digest, now);
      wanted = dispatcher.wantedStageChange(now);
    }
    return wanted;
  }

  private long now() {
    return START + Duration.ofMillis(millis).toNanos();
  }

  private long allocatedByTicks() {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    for (int tick = 0; tick < 100; tick++) {
      millis += TICK_MILLIS;
      dispatcher.wantedStageChange(now());
    }
    return threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
  }

  @Test
  void nodeThatIsNoCandidateWatchesNoEngine() {
    allocatedByTicks();
    long asCandidate = allocatedByTicks();
    dispatcher.stages().setCandidate(false);
    allocatedByTicks();
    assertThat(allocatedByTicks()).isLessThan(asCandidate / 5);
    dispatcher.stages().setCandidate(true);
    assertThat(wantedWhileOtherReports("", 4)).isPresent();
  }

  @Test
  void firstNodeThatMayOrderGivesTheOrders() {
    assertThat(wantedWhileOtherReports(OTHER, 4)).isEmpty();
    assertThat(wantedWhileOtherReports("", 1)).isPresent();
    assertThat(wantedWhileOtherReports(OTHER, 1)).isEmpty();
  }

  /**
   * A node that had not heard the others yet took itself for the first, three seconds after its
   * start, and got the lease before the node that is first.
   */
  @Test
  void nodeThatHasHeardNoOtherYetListensBeforeItOrders() {
    dispatcher.setNodeCount(OptionalInt.empty(), true);
    assertThat(wantedWhileOtherReports("", 4)).isEmpty();
    assertThat(dispatcher.stages().mayOrder(now())).isFalse();
    dispatcher.setNodeCount(OptionalInt.of(2), true);
    assertThat(wantedWhileOtherReports("", 1)).isPresent();
  }

  @Test
  void nodeThatHearsNoOtherOrdersInTheEnd() {
    dispatcher.setNodeCount(OptionalInt.empty(), true);
    assertThat(wantedWhileOtherReports("", 6)).isPresent();
  }

  @Test
  void nodeThatFailsInTheLeaderDutyLeavesOrdersToAnotherNodeForSomeTime() {
    assertThat(wantedWhileOtherReports(LATER, 4)).isPresent();
    dispatcher.stages().onLeaderDutyFailed(now());
    assertThat(dispatcher.stages().mayOrder(now())).isFalse();
    assertThat(wantedWhileOtherReports(LATER, 15)).isEmpty();
    assertThat(wantedWhileOtherReports(LATER, 10)).isPresent();
  }

  /**
   * The store was away for a second. Each node in turn failed to get the lease and left the orders
   * to the next; for 14 s nobody ordered, while no engine ran prompts and all were refused.
   */
  @Test
  void nodesThatHaveAllFailedInTheLeaderDutyGoOnTrying() {
    assertThat(wantedWhileOtherReports("", 4)).isPresent();
    dispatcher.stages().onLeaderDutyFailed(now());
    assertThat(wantedWhileOtherReports("", 1)).isPresent();
    assertThat(dispatcher.stages().mayOrder(now())).isFalse();
  }

  @Test
  void orderingNodeProvidesItsOutlook() {
    assertThat(wantedWhileOtherReports("", 4)).isPresent();
    assertThat(dispatcher.stages().outlooks(now()).get(MODEL))
        .satisfies(
            outlook -> {
              assertThat(outlook.prefillServing()).isEqualTo(3);
              assertThat(outlook.decodeServing()).isEqualTo(5);
              assertThat(outlook.prefillWaitMillis()).isGreaterThan(100);
              assertThat(outlook.wanted()).isEqualTo(EngineStage.PREFILL);
            });
    assertThat(wantedWhileOtherReports(OTHER, 1)).isEmpty();
    assertThat(dispatcher.stages().outlooks(now())).isEmpty();
  }

  /**
   * An engine that rests wants nothing from this node, including orders. It still counts as an
   * engine that serves.
   */
  @Test
  void engineThatRestsIsOrderedOnceItsRestIsOver() {
    String wanted = wantedWhileOtherReports("", 4).orElseThrow().engine().id();
    for (ServingEngine engine : ENGINES) {
      dispatcher.notices().onRest(engine.id(), Duration.ofSeconds(3).toNanos(), now());
    }
    assertThat(wantedWhileOtherReports("", 2)).isEmpty();
    assertThat(dispatcher.stages().outlooks(now()).get(MODEL).decodeServing()).isEqualTo(5);
    assertThat(wantedWhileOtherReports("", 2).orElseThrow().engine().id()).isEqualTo(wanted);
  }

  @Test
  void leavingEngineIsNeitherOrderedNorCounted() {
    String wanted = wantedWhileOtherReports("", 4).orElseThrow().engine().id();
    dispatcher.notices().onLeaving(wanted, NoticeSource.ANSWER, now());
    assertThat(dispatcher.takeLeaving(now())).hasSize(1);
    assertThat(wantedWhileOtherReports("", 1))
        .hasValueSatisfying(change -> assertThat(change.engine().id()).isNotEqualTo(wanted));
    assertThat(dispatcher.stages().outlooks(now()).get(MODEL).decodeServing()).isEqualTo(4);
  }
}
