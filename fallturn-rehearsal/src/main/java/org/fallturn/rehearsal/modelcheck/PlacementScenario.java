package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.placement.EngineListing;
import org.fallturn.core.placement.EngineTarget;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementDecision;
import org.fallturn.core.placement.PlacementParameters;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.placement.PoolScheduler;

/**
 * A pool's leader places requests while engines leave and change their roles; messages between the
 * leader, the nodes and the engines are late or lost.
 */
public final class PlacementScenario implements Scenario {

  static final String NAME = "placement";

  private static final Duration LENGTH = Duration.ofSeconds(60);
  private static final long TICK_NANOS = Duration.ofMillis(200).toNanos();
  private static final long LISTING_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long LIST_LAG_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long LEAVING_BOUND_NANOS = Duration.ofSeconds(3).toNanos();
  private static final long DEADLINE_MILLIS = 20_000;
  private static final Duration MIN_WORK = Duration.ofMillis(100);
  private static final Duration MAX_WORK = Duration.ofSeconds(4);
  private static final int ENGINES = 5;
  private static final double REQUEST_SHARE = 0.9;
  private static final double CHANGE_SHARE = 0.05;
  private static final double LEAVE_SHARE = 0.01;
  private static final PoolId POOL = new PoolId(new ZoneName("zone"), new ModelName("model"), 0);

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void play(Simulation simulation, Optional<BrokenVariant> variant, Coverage coverage) {
    new Run(simulation, variant, coverage).run();
  }

  /** One run. */
  private static final class Run {
    private final Simulation simulation;
    private final Optional<BrokenVariant> variant;
    private final Coverage coverage;
    private final PoolScheduler scheduler;
    private final Map<EngineId, WorkingEngine> engines = new HashMap<>();
    private final Map<EngineId, EngineRole> draining = new HashMap<>();
    private final Map<RequestId, Long> deadlines = new HashMap<>();
    private int requests;

    Run(Simulation simulation, Optional<BrokenVariant> variant, Coverage coverage) {
      this.simulation = simulation;
      this.variant = variant;
      this.coverage = coverage;
      this.scheduler = new PoolScheduler(POOL, new Epoch(1), PlacementParameters.defaults(), 0);
    }

    private boolean isBroken(BrokenVariant broken) {
      return variant.filter(broken::equals).isPresent();
    }

    void run() {
      for (int index = 0; index < ENGINES; index++) {
        EngineRole role = index < 2 ? EngineRole.PREFILL : EngineRole.DECODE;
        EngineId id = new EngineId("engine-" + index);
        engines.put(id, new WorkingEngine(simulation, id, role));
      }
      list();
      engines.values().forEach(this::readState);
      tick();
      simulation.run(LENGTH);
    }

    private void list() {
      boolean hide = isBroken(BrokenVariant.LEAVING_ENGINE_IGNORED);
      List<EngineListing> listing = new ArrayList<>();
      for (WorkingEngine engine : engines.values()) {
        boolean leaving = engine.hasLeftFor(LIST_LAG_NANOS) && !hide;
        listing.add(
            new EngineListing(
                engine.id(), POOL.zone(), new NetworkAddress("127.0.0.1", 1), leaving, false));
      }
      scheduler.onListing(listing, simulation.now());
      simulation.after(LISTING_NANOS, this::list);
    }

    private void readState(WorkingEngine engine) {
      simulation.sendOnce(
          "leader",
          engine.id().value(),
          () -> {
            var state = engine.state();
            simulation.sendOnce(
                engine.id().value(),
                "leader",
                () -> {
                  scheduler.onEngineState(state, simulation.now());
                  takeDecisions();
                });
          });
    }

    private void tick() {
      if (simulation.chance(REQUEST_SHARE)) {
        submit();
      }
      WorkingEngine any = anyEngine();
      if (simulation.chance(CHANGE_SHARE) && !draining.containsKey(any.id())) {
        beginChange(any);
      }
      if (simulation.chance(LEAVE_SHARE)) {
        any.leave();
      }
      readState(anyEngine());
      orderIdle();
      scheduler.advance(simulation.now());
      takeDecisions();
      simulation.after(TICK_NANOS, this::tick);
    }

    private WorkingEngine anyEngine() {
      int index = simulation.random().nextInt(ENGINES);
      return engines.get(new EngineId("engine-" + index));
    }

    // Planned changes.

    private void beginChange(WorkingEngine engine) {
      EngineRole role = engine.role() == EngineRole.DECODE ? EngineRole.PREFILL : EngineRole.DECODE;
      draining.put(engine.id(), role);
      scheduler.beginDrain(engine.id(), role);
    }

    private void orderIdle() {
      for (EngineId id : Set.copyOf(draining.keySet())) {
        boolean idle = scheduler.isIdle(id, simulation.now());
        if (idle || isBroken(BrokenVariant.CHANGE_WITHOUT_DRAIN)) {
          EngineRole role = draining.remove(id);
          coverage.count("planned-changes");
          engines.get(id).changeRole(role);
          scheduler.endDrain(id);
          scheduler.onEngineState(engines.get(id).state(), simulation.now());
        }
      }
    }

    // Requests.

    private void submit() {
      PlacementRequest request =
          new PlacementRequest(
              new RequestId("request-" + requests++),
              0,
              new TenantName("tenant"),
              1,
              POOL.model(),
              "",
              Urgency.NORMAL,
              simulation.random().nextInt(1, 2000),
              List.of(),
              simulation.random().nextInt(1, 200),
              DEADLINE_MILLIS,
              Set.of());
      deadlines.put(request.requestId(), simulation.now() + DEADLINE_MILLIS * 1_000_000);
      scheduler.submit(request, simulation.now());
      takeDecisions();
    }

    private void takeDecisions() {
      for (PlacementDecision decision : scheduler.takeDecisions()) {
        if (decision.answer() instanceof PlacementAnswer.Placed placed) {
          coverage.count("placed");
          onPlaced(decision.requestId(), placed);
        } else {
          coverage.count("refused");
        }
      }
    }

    private void onPlaced(RequestId request, PlacementAnswer.Placed placed) {
      placed.prefill().ifPresent(this::checkLeaving);
      checkLeaving(placed.decode());
      Runnable decode =
          () -> work(request, placed.decode(), PlacementProgress.Stage.COMPLETED, () -> {});
      if (placed.prefill().isPresent()) {
        work(request, placed.prefill().get(), PlacementProgress.Stage.PREFILLED, decode);
      } else {
        decode.run();
      }
    }

    private void checkLeaving(EngineTarget target) {
      if (engines.get(target.engine()).hasLeftFor(LEAVING_BOUND_NANOS)) {
        throw new InvariantViolatedException(
            Invariant.LEAVING_GETS_NO_WORK,
            target.engine()
                + " got new work "
                + LEAVING_BOUND_NANOS / 1_000_000
                + " ms after it began to leave");
      }
    }

    /**
     * The node sends the work after a while, not past the deadline, and cancels it then; its word
     * that the work has ended may get lost.
     */
    private void work(
        RequestId request, EngineTarget target, PlacementProgress.Stage stage, Runnable next) {
      WorkingEngine engine = engines.get(target.engine());
      simulation.after(
          simulation.between(Duration.ofMillis(1), Duration.ofMillis(200)),
          () -> {
            long left = deadlines.get(request) - simulation.now();
            long length = simulation.between(MIN_WORK, MAX_WORK);
            if (left <= 0) {
              return;
            }
            simulation.trace(() -> engine.id() + " begins " + request);
            engine.begin();
            simulation.after(
                Math.min(left, length),
                () -> {
                  simulation.trace(() -> engine.id() + " ends " + request + " " + stage);
                  engine.end();
                  if (left > length) {
                    simulation.sendOnce("node", "leader", () -> report(request, stage));
                    next.run();
                  }
                });
          });
    }

    private void report(RequestId request, PlacementProgress.Stage stage) {
      scheduler.onProgress(new PlacementProgress(POOL, request, 0, stage, 1), simulation.now());
      takeDecisions();
    }
  }
}
