package org.fallturn.rehearsal.engine;

import java.util.HashMap;
import java.util.Map;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.EngineState.Activity;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.port.engine.OrderNumber;
import org.fallturn.rehearsal.engine.CrashPlan.Point;

/**
 * Takes fenced orders: the highest number wins, anything not above it is refused without effect,
 * and so is an order meant for another incarnation. A restarted engine has forgotten its fence.
 * Runs on the engine's thread only.
 */
final class OrderExecutor {

  /** What orders need of the engine. */
  interface Effects {

    /** Ends all requests and forgets cache and exports, because the engine is taken away. */
    void takeAway();

    /** Runs something after a modelled time, unless the engine crashes before. */
    void after(long modelNanos, Runnable action);

    /** Loads weights and runs something, unless the engine crashes before. */
    void load(String name, String version, Runnable action);

    /** A crash may be planned for this moment. */
    void reached(Point point);

    /** Requests the engine works on. */
    int running();

    /** Whether the engine is leaving. */
    boolean isLeaving();
  }

  private final EngineSettings settings;
  private final JournalKeeper journal;
  private final Effects effects;
  private final long roleChangeNanos;
  private OrderNumber fence = OrderNumber.NONE;
  private EngineRole role;
  private ModelName model;
  private String modelVersion;
  private final Map<String, String> adapters = new HashMap<>();
  private Activity activity;
  private long incarnation;

  OrderExecutor(EngineSettings settings, JournalKeeper journal, Effects effects) {
    this.settings = settings;
    this.journal = journal;
    this.effects = effects;
    this.roleChangeNanos = new EngineCostModel(settings.costs()).roleChangeNanos();
  }

  /** The engine has started anew: everything is as the settings say. */
  void restart(long newIncarnation) {
    fence = OrderNumber.NONE;
    incarnation = newIncarnation;
    role = settings.role();
    model = settings.model();
    modelVersion = settings.modelVersion();
    adapters.clear();
    activity = Activity.SERVING;
    journal.incarnation(newIncarnation);
  }

  EngineState state() {
    return new EngineState(
        settings.engine(),
        incarnation,
        fence,
        role,
        model,
        modelVersion,
        adapters,
        activity,
        effects.isLeaving(),
        effects.running());
  }

  boolean isServing() {
    return activity == Activity.SERVING;
  }

  EngineRole role() {
    return role;
  }

  boolean hasLoaded(ModelName wanted, String adapter) {
    return wanted.equals(model) && (adapter.isEmpty() || adapters.containsKey(adapter));
  }

  OrderAnswer execute(EngineOrder order) {
    String refusal = refusalOf(order);
    if (refusal.isEmpty()) {
      fence = order.number();
    }
    journal.order(order, refusal.isEmpty(), refusal);
    if (refusal.isEmpty()) {
      begin(order.command());
    }
    return new OrderAnswer(refusal.isEmpty(), refusal, state());
  }

  private String refusalOf(EngineOrder order) {
    if (order.number().compareTo(fence) <= 0) {
      return "not above the fence " + fence.epoch().value() + "/" + fence.sequence();
    }
    if (!isMeantForMe(order)) {
      return "meant for incarnation " + order.incarnation() + ", not " + incarnation;
    }
    boolean takesAway =
        order.command() instanceof EngineCommand.ChangeRole
            || order.command() instanceof EngineCommand.LoadModel;
    if (takesAway && !isServing()) {
      return "busy with " + activity;
    }
    return "";
  }

  private boolean isMeantForMe(EngineOrder order) {
    boolean forAny =
        order.incarnation() == EngineOrder.ANY_INCARNATION
            && order.command() instanceof EngineCommand.RaiseFence;
    return forAny || order.incarnation() == incarnation;
  }

  private void begin(EngineCommand command) {
    if (command instanceof EngineCommand.ChangeRole change) {
      beginRoleChange(change);
    } else if (command instanceof EngineCommand.LoadModel load) {
      beginModelLoad(load);
    } else if (command instanceof EngineCommand.LoadAdapter load) {
      effects.load(
          load.adapter(), load.version(), () -> adapters.put(load.adapter(), load.version()));
      effects.reached(Point.IN_LOAD);
    } else if (command instanceof EngineCommand.UnloadAdapter unload) {
      adapters.remove(unload.adapter());
    }
  }

  private void beginRoleChange(EngineCommand.ChangeRole change) {
    if (change.role() == role) {
      return;
    }
    journal.roleChangeStarted(change);
    effects.takeAway();
    role = change.role();
    activity = Activity.CHANGING_ROLE;
    effects.after(roleChangeNanos, () -> activity = Activity.SERVING);
    effects.reached(Point.IN_ROLE_CHANGE);
  }

  private void beginModelLoad(EngineCommand.LoadModel load) {
    if (load.model().equals(model) && load.version().equals(modelVersion)) {
      return;
    }
    effects.takeAway();
    model = load.model();
    modelVersion = load.version();
    adapters.clear();
    activity = Activity.LOADING_MODEL;
    effects.load(model.value(), modelVersion, () -> activity = Activity.SERVING);
    effects.reached(Point.IN_LOAD);
  }
}
