package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.Map;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.port.engine.OrderNumber;

/**
 * An engine that obeys the published rules for orders and no more: it does not refuse an order
 * because it is busy, so that the leader's own bookkeeping is put to the test.
 */
final class SimulatedEngine {

  private static final Duration MIN_WORK = Duration.ofMillis(500);
  private static final Duration MAX_WORK = Duration.ofSeconds(4);

  private final Simulation simulation;
  private final EngineId id;
  private final boolean checksIncarnation;
  private long incarnation = 1;
  private OrderNumber fence = OrderNumber.NONE;
  private EngineRole role = EngineRole.DECODE;
  private boolean working;
  private Epoch knownToLeader = Epoch.NONE;
  private int acceptedOrders;

  SimulatedEngine(Simulation simulation, EngineId id, boolean checksIncarnation) {
    this.simulation = simulation;
    this.id = id;
    this.checksIncarnation = checksIncarnation;
  }

  EngineId id() {
    return id;
  }

  int acceptedOrders() {
    return acceptedOrders;
  }

  /** A leader of this epoch has been told the state and relies on it. */
  void stateKnownTo(Epoch epoch) {
    if (epoch.compareTo(knownToLeader) > 0) {
      knownToLeader = epoch;
    }
  }

  /** Crashes and comes back at once without fence, work or role. */
  void restart() {
    simulation.trace(() -> id + " restarts");
    incarnation++;
    fence = OrderNumber.NONE;
    role = EngineRole.DECODE;
    working = false;
  }

  OrderAnswer onOrder(EngineOrder order) {
    boolean otherIncarnation =
        order.incarnation() != EngineOrder.ANY_INCARNATION && order.incarnation() != incarnation;
    if (checksIncarnation && otherIncarnation) {
      return new OrderAnswer(false, "other incarnation", state());
    }
    if (order.number().compareTo(fence) <= 0) {
      return new OrderAnswer(false, "fenced", state());
    }
    fence = order.number();
    if (order.command() instanceof EngineCommand.ChangeRole change) {
      accept(order, change);
    }
    return new OrderAnswer(true, "", state());
  }

  private void accept(EngineOrder order, EngineCommand.ChangeRole change) {
    simulation.trace(() -> id + " accepts " + order.number() + " " + change.role());
    if (order.number().epoch().compareTo(knownToLeader) < 0) {
      throw new InvariantViolatedException(
          Invariant.STALE_ORDER_HAS_NO_EFFECT,
          id + " accepted " + order.number() + " although " + knownToLeader + " had its state");
    }
    if (working) {
      throw new InvariantViolatedException(
          Invariant.NO_CONFLICTING_ORDERS,
          id + " accepted " + order.number() + " while it was changing its role");
    }
    acceptedOrders++;
    role = change.role();
    working = true;
    long workOfIncarnation = incarnation;
    simulation.after(
        simulation.between(MIN_WORK, MAX_WORK),
        () -> {
          if (incarnation == workOfIncarnation) {
            working = false;
          }
        });
  }

  EngineState state() {
    return new EngineState(
        id,
        incarnation,
        fence,
        role,
        new ModelName("model"),
        "1",
        Map.of(),
        working ? EngineState.Activity.CHANGING_ROLE : EngineState.Activity.SERVING,
        false,
        0);
  }
}
