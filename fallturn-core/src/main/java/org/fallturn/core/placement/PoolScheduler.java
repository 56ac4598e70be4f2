package org.fallturn.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.LoadReport;
import org.fallturn.core.roles.PoolObservation;

/**
 * The scheduler of one pool for one leadership. It counts exactly what it has placed, keeps the
 * rest waiting by urgency, fairness and deadline, and refuses at once what cannot be done. Pure:
 * time is passed in, decisions are taken out with {@link #takeDecisions()}. Used by the pool
 * leader's duty thread only.
 */
public final class PoolScheduler implements PlacementPolicy {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double MILLIS_PER_SECOND = 1000;
  private static final long MIN_RETRY_MILLIS = 200;
  private static final long MAX_RETRY_MILLIS = 30_000;
  private static final int MAX_SET_ASIDE = 64;
  private static final long DEADLINE_SLACK_NANOS = 50 * NANOS_PER_MILLI;

  private final PoolId pool;
  private final Epoch epoch;
  private final PlacementParameters parameters;
  private final EngineTable engines;
  private final TenantShares shares = new TenantShares();
  private final InFlightTable inFlight;
  private final RequestQueue queue = new RequestQueue();
  private final PrefixIndex prefixes;
  private final CostModel costs;
  private final EngineChooser chooser;
  private final EngineFollower follower;
  private final WaitEstimator waits;
  private final StretchEstimate stretch = new StretchEstimate();
  private final PoolObserver observer;
  private final Set<EngineId> doubted = new HashSet<>();
  private List<PlacementDecision> decisions = new ArrayList<>();
  private long nextSequence;

  /** A scheduler that knows no engine yet. */
  public PoolScheduler(PoolId pool, Epoch epoch, PlacementParameters parameters, long nowNanos) {
    this.pool = pool;
    this.epoch = epoch;
    this.parameters = parameters;
    engines = new EngineTable(parameters.decodeSlots());
    inFlight = new InFlightTable(engines, shares);
    prefixes = new PrefixIndex(parameters.maxBlocksPerEngine());
    costs = new CostModel(parameters);
    chooser = new EngineChooser(parameters, engines, prefixes, costs, shares);
    follower = new EngineFollower(parameters, engines, inFlight, prefixes);
    waits = new WaitEstimator(engines, queue, costs);
    observer = new PoolObserver(pool, engines, queue, costs, nowNanos);
  }

  @Override
  public void onListing(List<EngineListing> listing, long nowNanos) {
    follower.onListing(listing);
  }

  @Override
  public void onEngineState(EngineState state, long nowNanos) {
    follower.onEngineState(state, nowNanos);
  }

  @Override
  public void onEngineUnreachable(EngineId engine, long nowNanos) {
    follower.onUnreachable(engine);
  }

  @Override
  public void onLoadReport(LoadReport report, long nowNanos) {
    follower.onLoadReport(report, nowNanos);
  }

  @Override
  public void onCacheEvents(EngineId engine, CacheEvents events, long nowNanos) {
    follower.onCacheEvents(engine, events);
  }

  /** Number of the last cache event taken in from an engine; 0 for none. */
  public long lastCacheEvent(EngineId engine) {
    return prefixes.lastEvent(engine);
  }

  @Override
  public void submit(PlacementRequest request, long nowNanos) {
    submit(request, true, nowNanos);
  }

  /**
   * A request asks for a place.
   *
   * @param mayQueue whether it waits here when there is no room; otherwise it is refused at once
   */
  public void submit(PlacementRequest request, boolean mayQueue, long nowNanos) {
    if (isRepeated(request, nowNanos)) {
      return;
    }
    shares.asked(request.tenant(), request.shareWeight(), nowNanos);
    int uncached = chooser.uncachedTokens(request);
    if (!chooser.isServable(request)) {
      observer.window().arrived(uncached, request.expectedOutputTokens());
      refuse(
          request,
          ErrorKind.NO_CAPACITY,
          "no engine of the pool serves now",
          parameters.engineAbsentRetry().toMillis());
      return;
    }
    enqueue(request, uncached, nowNanos);
    placeWaiting(nowNanos);
    boolean passedOn = !mayQueue && refuseQueued(request);
    if (!passedOn) {
      observer.window().arrived(uncached, request.expectedOutputTokens());
    }
  }

  private boolean refuseQueued(PlacementRequest request) {
    Optional<QueuedRequest> queued = queue.find(request.requestId());
    queued.ifPresent(
        waiting -> {
          queue.removeUnserved(waiting);
          refuse(request, ErrorKind.NO_CAPACITY, "the pool has no room now", retryMillis());
        });
    return queued.isPresent();
  }

  private boolean isRepeated(PlacementRequest request, long nowNanos) {
    Optional<PlacedRequest> placed = inFlight.find(request.requestId());
    if (placed.isPresent()) {
      if (placed.get().request.attempt() == request.attempt()) {
        decide(request, placed.get().answer);
        return true;
      }
      inFlight.release(placed.get(), nowNanos);
    }
    Optional<QueuedRequest> queued = queue.find(request.requestId());
    if (queued.isPresent()) {
      if (queued.get().request.attempt() == request.attempt()) {
        return true;
      }
      queue.removeUnserved(queued.get());
      refuse(queued.get().request, ErrorKind.NO_CAPACITY, "a later attempt came", 0);
    }
    return false;
  }

  private void enqueue(PlacementRequest request, int uncachedTokens, long nowNanos) {
    double least = chooser.leastSeconds(request, uncachedTokens);
    double wait = waits.waitSeconds(request);
    double predicted = cautious(request, least, nowNanos);
    double predictedWait = costs.isCalibrated() ? parameters.estimateFactor() * wait : 0;
    long deadline = nowNanos + request.deadlineMillis() * NANOS_PER_MILLI;
    long latestStart = deadline - (long) (predicted * NANOS_PER_SECOND);
    if (latestStart < nowNanos + (long) (predictedWait * NANOS_PER_SECOND)) {
      refuseLate(request, (long) (wait * MILLIS_PER_SECOND));
      return;
    }
    if (queue.size() >= parameters.maxQueued() && !makeRoomFor(request)) {
      refuse(request, ErrorKind.NO_CAPACITY, "the pool's queue is full", retryMillis());
      return;
    }
    queue.add(new QueuedRequest(request, nextSequence++, nowNanos, deadline, latestStart));
  }

  private boolean makeRoomFor(PlacementRequest request) {
    Optional<QueuedRequest> given = queue.givesWayTo(request);
    given.ifPresent(
        queued -> {
          queue.removeUnserved(queued);
          refuse(
              queued.request,
              ErrorKind.NO_CAPACITY,
              "the pool's queue is full of work that goes first",
              retryMillis());
        });
    return given.isPresent();
  }

  @Override
  public void onProgress(PlacementProgress progress, long nowNanos) {
    Optional<PlacedRequest> found = inFlight.find(progress.requestId());
    if (found.isEmpty() || found.get().request.attempt() != progress.attempt()) {
      abandonQueued(progress);
      return;
    }
    PlacedRequest placed = found.get();
    switch (progress.stage()) {
      case PREFILLED -> onPrefilled(placed, nowNanos);
      case COMPLETED -> onCompleted(placed, progress.generatedTokens(), nowNanos);
      case ABANDONED -> onAbandoned(placed, nowNanos);
      case PREFILL_FAILED -> onFailed(placed, placed.choice.prefill(), nowNanos);
      case DECODE_FAILED -> onFailed(placed, Optional.of(placed.choice.decode()), nowNanos);
      default -> throw new IllegalArgumentException("unknown stage " + progress.stage());
    }
    placeWaiting(nowNanos);
  }

  private void abandonQueued(PlacementProgress progress) {
    if (progress.stage() != PlacementProgress.Stage.ABANDONED) {
      return;
    }
    queue
        .find(progress.requestId())
        .filter(queued -> queued.request.attempt() == progress.attempt())
        .ifPresent(
            queued -> {
              queue.removeUnserved(queued);
              refuse(queued.request, ErrorKind.NO_CAPACITY, "the caller went away", 0);
            });
  }

  private void onPrefilled(PlacedRequest placed, long nowNanos) {
    Optional<EngineSlot> slot = placed.prefill;
    if (!inFlight.releasePrefill(placed, nowNanos)) {
      return;
    }
    EngineSlot prefill = slot.orElseThrow();
    long start = Math.max(placed.placedNanos, prefill.lastPrefilledNanos);
    prefill.lastPrefilledNanos = nowNanos;
    costs.onPrefilled(placed.choice.uncachedTokens(), nowNanos - start);
    placed.decodeStartNanos = nowNanos;
    placed.batchAtStart = placed.choice.decode().decodeLoad();
  }

  private void onCompleted(PlacedRequest placed, int generatedTokens, long nowNanos) {
    observer.window().completedRequests++;
    learn(placed, nowNanos);
    boolean measurable = placed.prefill.isEmpty();
    EngineSlot decode = placed.choice.decode();
    double meanBatch = (placed.batchAtStart + decode.decodeLoad()) / 2.0;
    inFlight.release(placed, nowNanos);
    if (measurable) {
      double prompt = placed.isLocal() ? costs.prefillSeconds(placed.choice.uncachedTokens()) : 0;
      long nanos = nowNanos - placed.decodeStartNanos - (long) (prompt * NANOS_PER_SECOND);
      costs.onDecoded(generatedTokens, nanos, meanBatch);
    }
    int extra = generatedTokens - placed.request.expectedOutputTokens();
    double extraCost = costs.engineSeconds(0, extra);
    queue
        .queue(placed.request.urgency())
        .correctCost(placed.request.tenant(), placed.request.shareWeight(), extraCost);
  }

  private void onAbandoned(PlacedRequest placed, long nowNanos) {
    if (nowNanos >= placed.deadlineNanos - DEADLINE_SLACK_NANOS) {
      learn(placed, nowNanos);
    }
    inFlight.release(placed, nowNanos);
  }

  private void learn(PlacedRequest placed, long nowNanos) {
    double actual = (nowNanos - placed.placedNanos) / NANOS_PER_SECOND;
    double predicted = placed.choice.work().seconds(costs);
    stretch.add(placed.request.urgency(), predicted, actual, nowNanos);
  }

  /** The part of a predicted time that refusals count on; nothing before enough was measured. */
  private double cautious(PlacementRequest request, double seconds, long nowNanos) {
    return costs.isCalibrated()
        ? parameters.estimateFactor() * stretch.factor(request.urgency(), nowNanos) * seconds
        : 0;
  }

  private void onFailed(PlacedRequest placed, Optional<EngineSlot> failed, long nowNanos) {
    inFlight.release(placed, nowNanos);
    Optional<EngineSlot> listed = failed.filter(slot -> engines.find(slot.engine) == slot);
    listed.ifPresent(
        slot -> {
          follower.onFailed(slot, placed.request.tenant(), nowNanos);
          doubted.add(slot.engine);
        });
  }

  @Override
  public void advance(long nowNanos) {
    List<PlacedRequest> expired = inFlight.releaseExpired(nowNanos);
    expired.forEach(placed -> learn(placed, nowNanos));
    observer.window().expiredRequests += expired.size();
    placeWaiting(nowNanos);
  }

  /** Engines on which a request failed since the last call; their state should be read soon. */
  public Set<EngineId> takeDoubted() {
    Set<EngineId> taken = Set.copyOf(doubted);
    doubted.clear();
    return taken;
  }

  /** When {@link #advance} has something to do at the latest; empty when only events can change. */
  public Optional<Long> nextWakeNanos() {
    Optional<Long> hopeless = queue.nextLatestStartNanos();
    Optional<Long> expired = inFlight.nextDeadlineNanos();
    if (hopeless.isPresent() && expired.isPresent()) {
      return Optional.of(Math.min(hopeless.get(), expired.get()));
    }
    return hopeless.or(() -> expired);
  }

  private void placeWaiting(long nowNanos) {
    refuseHopeless(nowNanos);
    for (QueuedRequest queued : queue.setAside()) {
      chooser.choose(queued.request).ifPresent(choice -> place(queued, choice, nowNanos));
    }
    Optional<QueuedRequest> first = queue.first();
    while (first.isPresent() && tryFirst(first.get(), nowNanos)) {
      first = queue.first();
    }
  }

  /** Places, refuses or sets aside the first request; false when it and all behind it must wait. */
  private boolean tryFirst(QueuedRequest first, long nowNanos) {
    Optional<EngineChoice> choice = chooser.choose(first.request);
    if (choice.isPresent()) {
      placeOrRefuse(first, choice.get(), nowNanos);
      return true;
    }
    if (!chooser.isServable(first.request)) {
      queue.removeUnserved(first);
      refuse(
          first.request,
          ErrorKind.NO_CAPACITY,
          "no engine of the pool serves now",
          parameters.engineAbsentRetry().toMillis());
      return true;
    }
    if (!first.request.excluded().isEmpty() && queue.setAside().size() < MAX_SET_ASIDE) {
      queue.setAside(first);
      return true;
    }
    return false;
  }

  /** Work that would end too late is not begun: it would only take others their time. */
  private void placeOrRefuse(QueuedRequest first, EngineChoice choice, long nowNanos) {
    double seconds = cautious(first.request, choice.finishSeconds(), nowNanos);
    if (nowNanos + (long) (seconds * NANOS_PER_SECOND) <= first.deadlineNanos) {
      place(first, choice, nowNanos);
      return;
    }
    queue.removeUnserved(first);
    refuseLate(first.request, retryMillis());
  }

  private void refuseLate(PlacementRequest request, long retryAfterMillis) {
    refuse(
        request,
        ErrorKind.DEADLINE_UNREACHABLE,
        "the pool cannot finish the request before its deadline",
        retryAfterMillis);
  }

  private void refuseHopeless(long nowNanos) {
    for (QueuedRequest queued : queue.removeHopeless(nowNanos)) {
      refuseLate(queued.request, retryMillis());
    }
  }

  private void place(QueuedRequest queued, EngineChoice choice, long nowNanos) {
    PlacementRequest request = queued.request;
    PlacementAnswer.Placed answer =
        new PlacementAnswer.Placed(
            pool, epoch, choice.prefill().map(EngineSlot::target), choice.decode().target());
    PlacedRequest placed =
        new PlacedRequest(request, answer, choice, nowNanos, queued.deadlineNanos);
    queue.removeServed(
        queued, costs.engineSeconds(choice.uncachedTokens(), request.expectedOutputTokens()));
    inFlight.add(placed, nowNanos);
    observer.window().placed(choice.uncachedTokens(), request.expectedOutputTokens());
    prefixes.expect(choice.prefill().orElse(choice.decode()).engine, request.prefixHashes());
    decide(request, answer);
  }

  private void refuse(
      PlacementRequest request, ErrorKind kind, String message, long retryAfterMillis) {
    observer.window().refusedRequests++;
    long retry = Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, retryAfterMillis));
    decide(request, new PlacementAnswer.Refused(kind, message, retry));
  }

  private long retryMillis() {
    return (long) (waits.backlogSeconds() * MILLIS_PER_SECOND);
  }

  private void decide(PlacementRequest request, PlacementAnswer answer) {
    decisions.add(new PlacementDecision(request.requestId(), request.attempt(), answer));
  }

  @Override
  public List<PlacementDecision> takeDecisions() {
    List<PlacementDecision> taken = decisions;
    decisions = new ArrayList<>();
    return taken;
  }

  /** Stops giving an engine work, so that its role can be changed once it is idle. */
  public void beginDrain(EngineId engine, EngineRole role) {
    EngineSlot slot = engines.find(engine);
    if (slot != null) {
      engines.change(slot, () -> slot.drainingFor = Optional.of(role));
    }
  }

  /** Gives an engine work again, after its role change was ordered or dropped. */
  public void endDrain(EngineId engine) {
    EngineSlot slot = engines.find(engine);
    if (slot != null) {
      engines.change(slot, () -> slot.drainingFor = Optional.empty());
    }
  }

  /** Whether an engine has nothing left to do and its KV cache has had time to be fetched. */
  public boolean isIdle(EngineId engine, long nowNanos) {
    EngineSlot slot = engines.find(engine);
    return slot != null
        && slot.reachable
        && slot.inFlight() == 0
        && slot.unknownRequests == 0
        && nowNanos - slot.lastReleaseNanos >= parameters.kvHold().toNanos();
  }

  /** What the role policy needs; begins a new window. */
  public PoolObservation observe(long nowNanos) {
    return observer.observe(nowNanos);
  }

  /** What the pool could take on now. */
  public PoolCapacity capacity() {
    return observer.capacity(parameters);
  }

  /** Requests placed and not known to have ended. */
  public int inFlightCount() {
    return inFlight.size();
  }

  /** Requests waiting. */
  public int queuedCount() {
    return queue.size();
  }

  /** Gives the waiting request whose turn it is to another pool; no decision is made here. */
  public Optional<PlacementRequest> giveAway(long nowNanos) {
    Optional<QueuedRequest> first = queue.first();
    first.ifPresent(queue::removeUnserved);
    return first.map(queued -> queued.remaining(nowNanos));
  }

  /** Takes every waiting request out without a decision; the leadership is over. */
  public List<PlacementRequest> abandonAll() {
    return queue.removeAll().stream().map(queued -> queued.request).toList();
  }
}
