package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.port.engine.OrderNumber;
import org.fallturn.core.port.table.ScanRequest;
import org.fallturn.rehearsal.engine.EngineJournal;
import org.fallturn.rehearsal.fleet.CallResult;
import org.fallturn.rehearsal.fleet.FleetPlan;
import org.fallturn.rehearsal.fleet.ManagedProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * A pool's leader that lost its authority while it stood still or was cut off has no effect on any
 * engine, and no engine executes conflicting orders.
 */
class StaleLeaderIT {

  @RegisterExtension static final FleetExtension FLEET = new FleetExtension(FleetPlan.small(3));

  @Test
  void aLeaderPausedPastItsLeaseOrdersNothingWhenItWakes() throws Exception {
    Lease before = lease();
    ManagedProcess paused = FLEET.fleet().node(before.holder()).process();
    paused.pause();
    FleetExtension.eventually().until(() -> fencedEverywhereAbove(before.epoch()));
    paused.resume();
    FLEET.awaitServing(FLEET.fleet().node(before.holder()));

    assertThat(lease().epoch()).isGreaterThan(before.epoch());
    assertOrdersInOrder();
  }

  @Test
  void aLeaderCutOffFromTheStoreAndItsPeersIsFencedAndItsLateOrdersAreRefused() throws Exception {
    Lease before = lease();
    FLEET.fleet().isolate(before.holder());
    FleetExtension.eventually().until(() -> fencedEverywhereAbove(before.epoch()));
    for (ManagedProcess engine : FLEET.fleet().engines().values()) {
      OrderAnswer answer = lateOrder(engine.address(), before.epoch());
      assertThat(answer.accepted()).as(answer.toString()).isFalse();
    }
    FLEET.fleet().proxy().heal();

    FLEET.awaitServing(FLEET.fleet().node(before.holder()));
    assertOrdersInOrder();
  }

  @Test
  void callersAreServedWhileTheLeadershipMoves() throws Exception {
    Lease before = lease();
    List<String> others =
        FLEET.fleet().nodes().keySet().stream()
            .filter(node -> !node.equals(before.holder()))
            .toList();
    NetworkAddress node = FLEET.callers(others.get(0));
    FLEET.fleet().node(before.holder()).process().kill();

    CallResult result = FLEET.caller().complete(node, "Is there a slot tomorrow?", 20);

    assertThat(result.verdict()).as(result.toString()).isEqualTo(CallResult.Verdict.COMPLETE);
    FLEET.fleet().remove(before.holder());
    FLEET.awaitServing(FLEET.fleet().addNode());
    FleetExtension.eventually().until(() -> fencedEverywhereAbove(before.epoch()));
    assertOrdersInOrder();
  }

  /** Who leads the only pool, by the table. */
  private record Lease(String holder, long epoch) {}

  private static Lease lease() throws Exception {
    JsonNode row =
        new ObjectMapper()
            .readTree(
                FLEET
                    .fleet()
                    .control()
                    .table()
                    .scan(new ScanRequest("lease", "", 10))
                    .get(0)
                    .value());
    return new Lease(row.path("holder").asText(), row.path("epoch").asLong());
  }

  private static boolean fencedEverywhereAbove(long epoch) throws Exception {
    for (ManagedProcess engine : FLEET.fleet().engines().values()) {
      if (state(engine.address()).fence().epoch().compareTo(new Epoch(epoch)) <= 0) {
        return false;
      }
    }
    return true;
  }

  private static EngineState state(NetworkAddress engine) throws Exception {
    return FLEET.fleet().control().get(engine, "/v1/state", EngineState.class);
  }

  /** What the old leader could still have had on its way. */
  private static OrderAnswer lateOrder(NetworkAddress engine, long epoch) throws Exception {
    EngineOrder order =
        new EngineOrder(
            new OrderNumber(new Epoch(epoch), 1_000),
            state(engine).incarnation(),
            new EngineCommand.UnloadAdapter("late"));
    return FLEET.fleet().control().post(engine, "/v1/orders", order, OrderAnswer.class);
  }

  private static void assertOrdersInOrder() throws Exception {
    for (ManagedProcess engine : FLEET.fleet().engines().values()) {
      EngineJournal journal =
          FLEET.fleet().control().get(engine.address(), "/control/journal", EngineJournal.class);
      List<OrderNumber> executed =
          journal.orders().stream()
              .filter(EngineJournal.OrderEntry::executed)
              .map(EngineJournal.OrderEntry::number)
              .toList();
      assertThat(executed).isNotEmpty().isSorted().doesNotHaveDuplicates();
    }
  }
}
