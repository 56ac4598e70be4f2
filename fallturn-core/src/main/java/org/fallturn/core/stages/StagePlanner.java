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
 * Decides when an engine of one service changes its stage. Prompts that wait while decode slots are
 * free make a decode engine read prompts; streams that crowd while prefill engines have nothing to
 * do make one decode again. It answers a mix of prompts and answers that moves within tens of
 * seconds; what turns sooner than an engine changes is left to placement.
 *
 * <p>Invariants: no change takes a stage below its least share of the engines, and never below one;
 * a stage that has fallen below it, since engines left, is filled up first; only a bounded part of
 * the engines changes at once, a larger one while nothing runs; a change by load is not undone
 * within {@link #REVERSAL_NANOS}. Load is smoothed, so that one long prompt moves nothing. One
 * thread calls, about every 100 ms.
 */
public final class StagePlanner {

  /** Prompts that wait longer than this on average are short of prefill engines. */
  private static final double LONG_WAIT_MILLIS = 60;

  /** Prompts that wait less than this on average have prefill engines to spare. */
  private static final double SHORT_WAIT_MILLIS = 15;

  /** Share of the decode slots that may be taken after a decode engine is given away. */
  private static final double ROOMY_OCCUPANCY = 0.4;

  /** Share of the decode slots above which streams crowd each other. */
  private static final double CROWDED_OCCUPANCY = 0.75;

  private static final double SMOOTHING_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

  /** How fast a past peak of taken decode slots is forgotten. */
  private static final double PEAK_NANOS = TimeUnit.SECONDS.toNanos(15);

  /**
   * Between two changes the effect of the first must show; where several engines may be away at
   * once, between as many.
   */
  private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

  /** So long a stage is below its least share before it is filled up. */
  private static final long MISSED_NANOS = TimeUnit.SECONDS.toNanos(3);

  static final long REVERSAL_NANOS = TimeUnit.SECONDS.toNanos(8);

  /** One of so many engines may be away at once, and always one. */
  private static final int ENGINES_PER_CHANGE = 16;

  /**
   * The same while hardly anything runs, as before the first callers come, when engines on loan
   * start in one stage and a third of them has to take the other within some ten seconds.
   */
  private static final int ENGINES_PER_CHANGE_WHEN_IDLE = 4;

  /**
   * Share of the engines that each stage has before any load was seen: engines that keep nothing
   * yet read every prompt whole, so that the first callers need more of them than those that
   * follow.
   */
  private static final double SHARE_BEFORE_LOAD = 0.5;

  /** Share of the decode slots below which an engine that is away is not missed. */
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
  private OptionalLong missedSinceNanos = OptionalLong.empty();

  /**
   * A planner that has seen nothing.
   *
   * @param leastShare share of the engines that each stage keeps
   */
  public StagePlanner(double leastShare) {
    this.leastShare = leastShare;
  }

  /** Takes the present load of all engines of the service. */
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

  /** The change to be ordered next, if any; the same until {@link #onOrdered}. */
  public Optional<StageChange> wanted(List<StageView> engines, long nowNanos) {
    int changing = (int) engines.stream().filter(StagePlanner::changes).count();
    boolean idle = peakOccupancy < IDLE_OCCUPANCY;
    int perChange = idle ? ENGINES_PER_CHANGE_WHEN_IDLE : ENGINES_PER_CHANGE;
    int atOnce = Math.max(1, engines.size() / perChange);
    if (changing >= atOnce) {
      return Optional.empty();
    }
    if (lastStage != EngineStage.NONE && nowNanos - lastChangeNanos < PAUSE_NANOS / atOnce) {
      return Optional.empty();
    }
    return wantedStage(engines, nowNanos).flatMap(next -> leastMissed(engines, next));
  }

  /** What the next decision goes by. */
  public StageOutlook outlook(List<StageView> engines, long nowNanos) {
    return new StageOutlook(
        count(engines, EngineStage.PREFILL),
        serving(engines, EngineStage.PREFILL),
        count(engines, EngineStage.DECODE),
        serving(engines, EngineStage.DECODE),
        (int) engines.stream().filter(StagePlanner::changes).count(),
        prefillWaitMillis,
        decodeWaitMillis,
        occupancy,
        peakOccupancy,
        wanted(engines, nowNanos).map(StageChange::stage).orElse(EngineStage.NONE));
  }

  private static int serving(List<StageView> engines, EngineStage stage) {
    return (int) engines.stream().filter(view -> view.serves(stage)).count();
  }

  private static boolean changes(StageView view) {
    return view.changingTo() != EngineStage.NONE;
  }

  private boolean undoes(EngineStage next, long nowNanos) {
    boolean reverses = lastStage != EngineStage.NONE && lastStage != next;
    return reverses && nowNanos - lastChangeNanos < REVERSAL_NANOS;
  }

  private Optional<EngineStage> wantedStage(List<StageView> engines, long nowNanos) {
    int prefill = count(engines, EngineStage.PREFILL);
    int decode = count(engines, EngineStage.DECODE);
    double share = loadSeen ? leastShare : Math.max(leastShare, SHARE_BEFORE_LOAD);
    int least = Math.max(1, (int) Math.ceil(share * (prefill + decode)));
    Optional<EngineStage> missed = belowFloor(prefill, decode, least);
    if (missed.isPresent()) {
      return missed.filter(stage -> lasts(nowNanos));
    }
    missedSinceNanos = OptionalLong.empty();
    return wantedByLoad(prefill, decode, least).filter(next -> !undoes(next, nowNanos));
  }

  private Optional<EngineStage> wantedByLoad(int prefill, int decode, int least) {
    if (decode > least && shortOfPrefill(decode)) {
      return Optional.of(EngineStage.PREFILL);
    }
    if (prefill > least && shortOfDecode()) {
      return Optional.of(EngineStage.DECODE);
    }
    return Optional.empty();
  }

  /** Engines crash and leave: a stage may have fallen below its least share without any order. */
  private static Optional<EngineStage> belowFloor(int prefill, int decode, int least) {
    if (decode < least && prefill > least) {
      return Optional.of(EngineStage.DECODE);
    }
    if (prefill < least && decode > least) {
      return Optional.of(EngineStage.PREFILL);
    }
    return Optional.empty();
  }

  /** Not while engines are still being listed, at a start or when the store is back. */
  private boolean lasts(long nowNanos) {
    if (missedSinceNanos.isEmpty()) {
      missedSinceNanos = OptionalLong.of(nowNanos);
    }
    return nowNanos - missedSinceNanos.getAsLong() >= MISSED_NANOS;
  }

  private boolean shortOfPrefill(int decode) {
    double occupancyAfter = peakOccupancy * decode / (decode - 1);
    return prefillWaitMillis > LONG_WAIT_MILLIS
        && occupancyAfter < ROOMY_OCCUPANCY
        && decodeWaitMillis < prefillWaitMillis;
  }

  private boolean shortOfDecode() {
    boolean crowded = occupancy > CROWDED_OCCUPANCY || decodeWaitMillis > LONG_WAIT_MILLIS;
    return crowded && prefillWaitMillis < SHORT_WAIT_MILLIS;
  }

  private static int count(List<StageView> engines, EngineStage stage) {
    return (int) engines.stream().filter(view -> view.stageAfterChange() == stage).count();
  }

  /** An engine of the zone that has most of the other stage, and of these the least loaded. */
  private static Optional<StageChange> leastMissed(List<StageView> engines, EngineStage next) {
    EngineStage other = next == EngineStage.PREFILL ? EngineStage.DECODE : EngineStage.PREFILL;
    Map<String, Long> byZone =
        engines.stream()
            .filter(view -> view.serves(other))
            .collect(Collectors.groupingBy(view -> view.engine().zone(), Collectors.counting()));
    return engines.stream()
        .filter(view -> view.serves(other))
        .min(
            Comparator.comparingLong((StageView view) -> -byZone.get(view.engine().zone()))
                .thenComparingDouble(StageView::waitMillis)
                .thenComparingInt(StageView::running)
                .thenComparing(view -> view.engine().id()))
        .map(view -> new StageChange(view.engine(), next));
  }

  /** The change is being ordered, by this node or another. */
  public void onOrdered(EngineStage stage, long nowNanos) {
    lastStage = stage;
    lastChangeNanos = nowNanos;
  }
}
