package org.fallturn.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.LoadDemand;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.EngineState.Activity;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.port.engine.OrderNumber;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests numbering, fences and orders in progress: a lost answer, a restarted engine or a late
 * answer must not let an old order take effect after a newer one.
 */
class PoolOrderBookTest {

  private static final EngineId ENGINE = new EngineId("engine-1");
  private static final EngineId SECOND = new EngineId("engine-2");
  private static final Epoch EPOCH = new Epoch(3);
  private static final EngineCommand CHANGE_ROLE = new EngineCommand.ChangeRole(EngineRole.PREFILL);
  private static final EngineCommand LOAD =
      new EngineCommand.LoadModel(new ModelName("model"), "2");
  private static final long RETRY = Duration.ofMillis(500).toNanos();

  private final PoolOrderBook book = new PoolOrderBook(EPOCH, Duration.ofMillis(500));

  @BeforeEach
  void addEngines() {
    book.onEngines(Set.of(ENGINE, SECOND), 0);
  }

  private static EngineState state(
      EngineId engine, long incarnation, OrderNumber fence, Activity activity) {
    return new EngineState(
        engine,
        incarnation,
        fence,
        EngineRole.DECODE,
        new ModelName("model"),
        "1",
        Map.of(),
        activity,
        false,
        0);
  }

  private OrderResult accept(EngineId engine, EngineOrder order, Activity activity) {
    OrderAnswer answer = new OrderAnswer(true, "", state(engine, 1, order.number(), activity));
    return book.onAnswer(engine, order, answer, 0);
  }

  private void fence(EngineId engine) {
    accept(engine, book.raiseFence(engine), Activity.SERVING);
  }

  private EngineOrder submitted(EngineId engine, EngineCommand command) {
    OrderDecision decision = book.submit(engine, command, 0);
    assertThat(decision).isInstanceOf(OrderDecision.Send.class);
    return ((OrderDecision.Send) decision).order();
  }

  private static OrderDecision refused(OrderDecision.Reason reason) {
    return new OrderDecision.Refused(reason);
  }

  @Test
  void refusesOrdersBeforeTheFenceIsAcknowledged() {
    assertThat(book.submit(ENGINE, CHANGE_ROLE, 0))
        .isEqualTo(refused(OrderDecision.Reason.NOT_FENCED));
    assertThat(book.fencesDue(0)).containsExactly(ENGINE, SECOND);
    fence(ENGINE);
    EngineOrder order = submitted(ENGINE, CHANGE_ROLE);
    assertThat(order.number().epoch()).isEqualTo(EPOCH);
    assertThat(order.incarnation()).isEqualTo(1);
  }

  @Test
  void refusesOrdersWhileAnOrderIsInProgress() {
    fence(ENGINE);
    EngineOrder order = submitted(ENGINE, CHANGE_ROLE);
    assertThat(book.submit(ENGINE, CHANGE_ROLE, 0))
        .isEqualTo(refused(OrderDecision.Reason.IN_PROGRESS));
    accept(ENGINE, order, Activity.CHANGING_ROLE);
    assertThat(book.submit(ENGINE, CHANGE_ROLE, 0))
        .isEqualTo(refused(OrderDecision.Reason.IN_PROGRESS));
    book.onState(ENGINE, state(ENGINE, 1, order.number(), Activity.SERVING), 0);
    submitted(ENGINE, CHANGE_ROLE);
  }

  @Test
  void stateFromBeforeTheLastOrderDoesNotEndIt() {
    fence(ENGINE);
    EngineOrder order = submitted(ENGINE, CHANGE_ROLE);
    accept(ENGINE, order, Activity.CHANGING_ROLE);
    OrderNumber earlier = new OrderNumber(EPOCH, order.number().sequence() - 1);
    book.onState(ENGINE, state(ENGINE, 1, earlier, Activity.SERVING), 0);
    assertThat(book.submit(ENGINE, CHANGE_ROLE, 0))
        .isEqualTo(refused(OrderDecision.Reason.IN_PROGRESS));
  }

  @Test
  void lostAnswerIsSettledByAFenceWithAHigherNumber() {
    fence(ENGINE);
    EngineOrder lost = submitted(ENGINE, CHANGE_ROLE);
    book.onNoAnswer(ENGINE, lost, 0);
    assertThat(book.submit(ENGINE, CHANGE_ROLE, 0))
        .isEqualTo(refused(OrderDecision.Reason.NOT_FENCED));
    assertThat(book.fencesDue(RETRY)).contains(ENGINE);
    EngineOrder newFence = book.raiseFence(ENGINE);
    assertThat(newFence.number()).isGreaterThan(lost.number());
    accept(ENGINE, newFence, Activity.SERVING);
    assertThat(submitted(ENGINE, CHANGE_ROLE).number()).isGreaterThan(newFence.number());
    assertThat(accept(ENGINE, lost, Activity.SERVING)).isInstanceOf(OrderResult.Stale.class);
  }

  @Test
  void restartedEngineIsFencedAgain() {
    fence(ENGINE);
    book.onState(ENGINE, state(ENGINE, 2, OrderNumber.NONE, Activity.SERVING), 0);
    assertThat(book.submit(ENGINE, CHANGE_ROLE, 0))
        .isEqualTo(refused(OrderDecision.Reason.NOT_FENCED));
  }

  @Test
  void laterEpochEndsTheLeadership() {
    EngineOrder fence = book.raiseFence(ENGINE);
    OrderNumber later = new OrderNumber(new Epoch(4), 0);
    OrderAnswer answer =
        new OrderAnswer(false, "fenced", state(ENGINE, 1, later, Activity.SERVING));
    assertThat(book.onAnswer(ENGINE, fence, answer, 0))
        .isEqualTo(new OrderResult.Superseded(new Epoch(4)));
  }

  @Test
  void loadsKeepToThePoolsShareOfTheWeightStore() {
    fence(ENGINE);
    fence(SECOND);
    EngineOrder load = submitted(ENGINE, LOAD);
    assertThat(book.submit(SECOND, LOAD, 0)).isEqualTo(refused(OrderDecision.Reason.LOADS_LIMITED));
    assertThat(book.loadDemand(0)).isEqualTo(new LoadDemand(2, 1));
    submitted(SECOND, CHANGE_ROLE);
    accept(ENGINE, load, Activity.LOADING_MODEL);
    book.onLoadSlots(2);
    assertThat(book.loadDemand(0).waiting()).isEqualTo(2);
  }

  @Test
  void weightStoreIsSharedFairlyAndNeverOverbooked() {
    PoolId first = PoolId.parse("zone/model/0");
    PoolId second = PoolId.parse("zone/model/1");
    Map<PoolId, LoadDemand> demands =
        Map.of(first, new LoadDemand(40, 0), second, new LoadDemand(40, 0));
    assertThat(LoadShares.of(demands, 6)).isEqualTo(Map.of(first, 3, second, 3));
    Map<PoolId, LoadDemand> oneHadMore =
        Map.of(first, new LoadDemand(40, 9), second, new LoadDemand(2, 0));
    assertThat(LoadShares.of(oneHadMore, 6)).isEqualTo(Map.of(first, 4, second, 2));
    Map<PoolId, LoadDemand> manyPools =
        Map.of(first, new LoadDemand(5, 1), second, new LoadDemand(5, 0));
    assertThat(LoadShares.of(manyPools, 1)).isEqualTo(Map.of(second, 1));
  }
}
