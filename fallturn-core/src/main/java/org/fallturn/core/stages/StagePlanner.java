package org.fallturn.core.stages;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.fallturn.core.routing.EngineStage;

/**
 * Decides when an engine of one service changes its stage. When prompts wait while decode slots are
 * free, a decode engine changes to prefill. When streams compete for slots while prefill engines
 * are idle, one changes back to decode. This follows shifts in the mix of prompts and answers over
 * tens of seconds. Shifts that are shorter than the stage change of an engine are left to request
 * placement.
 *
 * <p>Invariants: no change reduces a stage below its minimum share of the engines, or below one
 * engine; a stage that has fallen below its minimum because engines left is filled up first; only a
 * limited part of the engines changes at the same time, a larger one while nothing runs; no change
 * because of load reverses the previous change within {@link #REVERSAL_NANOS}. Load is smoothed, so
 * that one long prompt causes no change. One thread calls, about every 100 ms.
 */
public final class StagePlanner {

  /** Mean wait of prompts above which the engines of their stage are too few. */
  private static final double LONG_WAIT_MILLIS = 60;

  /** Mean wait of prompts below which there are prefill engines to spare. */
  private static final double SHORT_WAIT_MILLIS = 15;

  /**
   * Maximum share of the decode slots that may be in use after a decode engine has changed to
   * prefill.
   */
  private static final double LOW_OCCUPANCY = 0.4;

  /** Share of the decode slots above which streams compete for them. */
  private static final double HIGH_OCCUPANCY = 0.75;

  private static final double SMOOTHING_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

  /** Time constant with which an earlier peak of the occupied decode slots decays. */
  private static final double PEAK_NANOS = TimeUnit.SECONDS.toNanos(15);

  /**
   * Minimum time between two changes, so that the effect of the first becomes visible. When several
   * engines may change at the same time, it is divided by their number, so that as many changes may
   * start within this time.
   */
  private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

  /** How long a stage must be below its minimum before it is filled up. */
  private static final long SHORTAGE_NANOS = TimeUnit.SECONDS.toNanos(3);

  static final long REVERSAL_NANOS = TimeUnit.SECONDS.toNanos(8);

  /** One engine out of this number may change at a time, and always at least one. */
  private static final int ENGINES_PER_CHANGE = 16;

  /**
   * Replaces {@link #ENGINES_PER_CHANGE} while almost nothing runs. Before the first callers
   * arrive, loaned engines start in one stage, and a third of them has to change to the other
   * within about ten seconds.
   */
  private static final int ENGINES_PER_CHANGE_WHEN_IDLE = 4;

  /**
   * Minimum share of the engines in each stage before any load has been seen. Engines with empty
   * caches read every prompt as a whole, so that the first callers need more prefill engines than
   * later ones.
   */
  private static final double SHARE_BEFORE_LOAD = 0.5;

  /** Share of the decode slots below which an engine can change without being missed. */
  private static final double IDLE_OCCUPANCY = 0.02;

  private final double leastShare;
  private boolean observed;
  private long observedNanos;
  private double prefillWaitMillis;
  private double decodeWaitMillis;
  private double occupancy;
  private double peakOccupancy;
  private boolean loadSeen;
  private EngineStage lastStage = EngineStage.NONE;
  private long lastChangeNanos;
  private OptionalLong shortageSinceNanos = OptionalLong.empty();

  /**
   * Creates a planner without observations.
   *
   * @param leastShare minimum share of the engines that each stage keeps
   */
  public StagePlanner(double leastShare) {
    this.leastShare = leastShare;
  }

  /** Updates the smoothed load with the current load of all engines of the service. */
  public void observe(List<StageView> engines, long nowNanos) {
    double share = observed ? 1 - Math.exp(-(nowNanos - observedNanos) / SMOOTHING_NANOS) : 1;
    double decay = observed ? Math.exp(-(nowNanos - observedNanos) / PEAK_NANOS) : 0;
    observed = true;
    observedNanos = nowNanos;
    prefillWaitMillis += share * (meanWait(engines, EngineStage.PREFILL) - prefillWaitMillis);
    decodeWaitMillis += share * (meanWait(engines, EngineStage.DECODE) - decodeWaitMillis);
    occupancy += share * (occupancy(engines) - occupancy);
    peakOccupancy = Math.max(occupancy, peakOccupancy * decay);
    loadSeen |= engines.stream().anyMatch(view -> view.running() > 0);
  }

  private static double meanWait(List<StageView> engines, EngineStage stage) {
    return engines.stream()
        .filter(view -> view.serves(stage))
        .mapToDouble(StageView::waitMillis)
        .average()
        .orElse(0);
  }

  private static double occupancy(List<StageView> engines) {
    int running = 0;
    int slots = 0;
    for (StageView view : engines) {
      if (view.serves(EngineStage.DECODE)) {
        running += view.running();
        slots += view.engine().slots();
      }
    }
    return slots == 0 ? 0 : (double) running / slots;
  }

  /**
   * Returns the next change to order, if any. It is offered again until {@link #onOrdered} is
   * called.
   */
  public Optional<StageChange> wanted(List<StageView> engines, long nowNanos) {
    int changing = (int) engines.stream().filter(StagePlanner::isChanging).count();
    boolean idle = peakOccupancy < IDLE_OCCUPANCY;
    int perChange = idle ? ENGINES_PER_CHANGE_WHEN_IDLE : ENGINES_PER_CHANGE;
    int atOnce = Math.max(1, engines.size() / perChange);
    if (changing >= atOnce) {
      return Optional.empty();
    }
    if (lastStage != EngineStage.NONE && nowNanos - lastChangeNanos < PAUSE_NANOS / atOnce) {
      return Optional.empty();
    }
    return wantedStage(engines, nowNanos).flatMap(next -> leastLoadedEngine(engines, next));
  }

  /** Returns the inputs and the result of the next decision. */
  public StageOutlook outlook(List<StageView> engines, long nowNanos) {
    return new StageOutlook(
        count(engines, EngineStage.PREFILL),
        serving(engines, EngineStage.PREFILL),
        count(engines, EngineStage.DECODE),
        serving(engines, EngineStage.DECODE),
        (int) engines.stream().filter(StagePlanner::isChanging).count(),
        prefillWaitMillis,
        decodeWaitMillis,
        occupancy,
        peakOccupancy,
        wanted(engines, nowNanos).map(StageChange::stage).orElse(EngineStage.NONE));
  }

  private static int serving(List<StageView> engines, EngineStage stage) {
    return (int) engines.stream().filter(view -> view.serves(stage)).count();
  }

  private static boolean isChanging(StageView view) {
    return view.changingTo() != EngineStage.NONE;
  }

  private boolean reversesLastChange(EngineStage next, long nowNanos) {
    boolean reverses = lastStage != EngineStage.NONE && lastStage != next;
    return reverses && nowNanos - lastChangeNanos < REVERSAL_NANOS;
  }

  private Optional<EngineStage> wantedStage(List<StageView> engines, long nowNanos) {
    int prefill = count(engines, EngineStage.PREFILL);
    int decode = count(engines, EngineStage.DECODE);
    double share = loadSeen ? leastShare : Math.max(leastShare, SHARE_BEFORE_LOAD);
    int minimum = Math.max(1, (int) Math.ceil(share * (prefill + decode)));
    Optional<EngineStage> shortStage = belowMinimum(prefill, decode, minimum);
    if (shortStage.isPresent()) {
      return shortStage.filter(stage -> shortageLasts(nowNanos));
    }
    shortageSinceNanos = OptionalLong.empty();
    return wantedByLoad(prefill, decode, minimum)
        .filter(next -> !reversesLastChange(next, nowNanos));
  }

  private Optional<EngineStage> wantedByLoad(int prefill, int decode, int minimum) {
    if (decode > minimum && shortOfPrefill(decode)) {
      return Optional.of(EngineStage.PREFILL);
    }
    if (prefill > minimum && shortOfDecode()) {
      return Optional.of(EngineStage.DECODE);
    }
    return Optional.empty();
  }

  /**
   * Returns the stage that is below its minimum while the other has engines to spare. This can
   * happen without any order, since engines crash and leave.
   */
  private static Optional<EngineStage> belowMinimum(int prefill, int decode, int minimum) {
    if (decode < minimum && prefill > minimum) {
      return Optional.of(EngineStage.DECODE);
    }
    if (prefill < minimum && decode > minimum) {
      return Optional.of(EngineStage.PREFILL);
    }
    return Optional.empty();
  }

  /**
   * Returns whether a stage has been below its minimum for long enough. The delay avoids changes
   * while engines are still being listed, at startup or when the store has come back.
   */
  private boolean shortageLasts(long nowNanos) {
    if (shortageSinceNanos.isEmpty()) {
      shortageSinceNanos = OptionalLong.of(nowNanos);
    }
    return nowNanos - shortageSinceNanos.getAsLong() >= SHORTAGE_NANOS;
  }

  private boolean shortOfPrefill(int decode) {
    double occupancyAfter = peakOccupancy * decode / (decode - 1);
    return prefillWaitMillis > LONG_WAIT_MILLIS
        && occupancyAfter < LOW_OCCUPANCY
        && decodeWaitMillis < prefillWaitMillis;
  }

  private boolean shortOfDecode() {
    boolean crowded = occupancy > HIGH_OCCUPANCY || decodeWaitMillis > LONG_WAIT_MILLIS;
    return crowded && prefillWaitMillis < SHORT_WAIT_MILLIS;
  }

  private static int count(List<StageView> engines, EngineStage stage) {
    return (int) engines.stream().filter(view -> view.stageAfterChange() == stage).count();
  }

  /**
   * Chooses an engine in the zone with the most engines of the other stage, the least loaded of
   * these. The only decode engine of a software version goes last: streams that its version began
   * can go on nowhere else.
   */
  private static Optional<StageChange> leastLoadedEngine(
      List<StageView> engines, EngineStage next) {
    EngineStage other = next == EngineStage.PREFILL ? EngineStage.DECODE : EngineStage.PREFILL;
    Map<String, Long> byZone =
        engines.stream()
            .filter(view -> view.serves(other))
            .collect(Collectors.groupingBy(view -> view.engine().zone(), Collectors.counting()));
    Map<String, Long> decodersByVersion =
        engines.stream()
            .filter(view -> view.serves(EngineStage.DECODE))
            .collect(
                Collectors.groupingBy(
                    view -> view.engine().softwareVersion(), Collectors.counting()));
    return engines.stream()
        .filter(view -> view.serves(other))
        .min(
            Comparator.comparing(
                    (StageView view) ->
                        other == EngineStage.DECODE
                            && decodersByVersion.get(view.engine().softwareVersion()) == 1)
                .thenComparingLong(view -> -byZone.get(view.engine().zone()))
                .thenComparingDouble(StageView::waitMillis)
                .thenComparingInt(StageView::running)
                .thenComparing(view -> view.engine().id()))
        .map(view -> new StageChange(view.engine(), next));
  }

  /** Records that a change is being ordered, by this node or by another. */
  public void onOrdered(EngineStage stage, long nowNanos) {
    lastStage = stage;
    lastChangeNanos = nowNanos;
  }
}
