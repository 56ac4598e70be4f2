package org.fallturn.node.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.PoolPolicyRecord;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.placement.EngineListing;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementDecision;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.placement.PoolScheduler;
import org.fallturn.core.port.engine.EngineState;

/**
 * One leadership of one pool: the scheduler, those who wait for its answers, the polls of its
 * engines, its role changes and its digest. Used by the leaders' duty thread only.
 */
final class PoolLeader {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long ROLE_DECISION_NANOS = 1_000 * NANOS_PER_MILLI;
  private static final int DEFAULT_MAX_CHANGING = 1;

  private final PoolId pool;
  private final Epoch epoch;
  private final LeaderParts parts;
  private final PoolScheduler scheduler;
  private final EnginePoller poller;
  private final RoleChangeDriver roleChanges;
  private final VersionRolloutDriver versionRollout;
  private final DigestPacer digests;
  private final Map<Waiting, List<CompletableFuture<PlacementAnswer>>> waiting = new HashMap<>();
  private long nextRoleDecisionNanos;

  PoolLeader(
      PoolId pool, Epoch epoch, LeaderParts parts, Consumer<LeaderEvent> events, long nowNanos) {
    this.pool = pool;
    this.epoch = epoch;
    this.parts = parts;
    scheduler = new PoolScheduler(pool, epoch, parts.parameters(), nowNanos);
    poller =
        new EnginePoller(
            pool,
            epoch,
            parts.client(),
            parts.settings().reportInterval(),
            scheduler::lastCacheEvent,
            events);
    roleChanges =
        new RoleChangeDriver(
            pool, epoch, scheduler, parts.rolePolicies().apply(pool), parts.orders(), events);
    versionRollout = new VersionRolloutDriver(pool, epoch, scheduler, parts.orders(), events);
    digests = new DigestPacer(pool, epoch, parts);
    nextRoleDecisionNanos = nowNanos + ROLE_DECISION_NANOS;
  }

  Epoch epoch() {
    return epoch;
  }

  PoolScheduler scheduler() {
    return scheduler;
  }

  void onListing(List<EngineListing> listing, long nowNanos) {
    scheduler.onListing(listing, nowNanos);
    poller.onListing(listing);
    versionRollout.onEngines(
        listing.stream().map(EngineListing::engine).collect(Collectors.toSet()));
  }

  void onEngineState(EngineState state, long nowNanos) {
    poller.answered(state.engine(), EnginePoller.Kind.STATE);
    scheduler.onEngineState(state, nowNanos);
    versionRollout.onState(state);
    if (state.activity() != EngineState.Activity.SERVING) {
      poller.hasten(state.engine(), nowNanos);
    }
    answerDecided();
  }

  void onEvent(LeaderEvent.LoadRead event, long nowNanos) {
    poller.answered(event.report().engine(), EnginePoller.Kind.LOAD);
    scheduler.onLoadReport(event.report(), nowNanos);
    answerDecided();
  }

  void onEvent(LeaderEvent.CacheRead event, long nowNanos) {
    poller.answered(event.engine(), EnginePoller.Kind.CACHE);
    scheduler.onCacheEvents(event.engine(), event.events(), nowNanos);
  }

  void onEvent(LeaderEvent.PollFailed event, long nowNanos) {
    poller.answered(event.engine(), event.kind());
    if (event.kind() == EnginePoller.Kind.STATE) {
      scheduler.onEngineUnreachable(event.engine(), nowNanos);
      poller.hasten(event.engine(), nowNanos);
      answerDecided();
    }
  }

  void onEvent(LeaderEvent.RoleChangeAnswered event, long nowNanos) {
    roleChanges.answered(event.engine(), event.answer(), nowNanos);
    poller.hasten(event.engine(), nowNanos);
    answerDecided();
  }

  void onEvent(LeaderEvent.RoleChangeFailed event, long nowNanos) {
    roleChanges.failed(event.engine(), event.reason(), nowNanos);
    poller.hasten(event.engine(), nowNanos);
  }

  void onEvent(LeaderEvent.LoadAnswered event, long nowNanos) {
    versionRollout.answered(event.engine(), event.answer(), nowNanos);
    poller.hasten(event.engine(), nowNanos);
    answerDecided();
  }

  void onEvent(LeaderEvent.LoadFailed event, long nowNanos) {
    versionRollout.failed(event.engine(), event.kind(), nowNanos);
    poller.hasten(event.engine(), nowNanos);
  }

  void submit(LeaderEvent.Submitted event, long nowNanos) {
    Waiting key = new Waiting(event.request().requestId(), event.request().attempt());
    waiting.computeIfAbsent(key, k -> new ArrayList<>(1)).add(event.answer());
    long ageMillis = (nowNanos - event.receivedNanos()) / NANOS_PER_MILLI;
    PlacementRequest request = event.request();
    request = request.withDeadlineMillis(request.deadlineMillis() - ageMillis);
    scheduler.submit(request, event.mayQueue(), nowNanos);
    answerDecided();
  }

  void onProgress(PlacementProgress progress, long nowNanos) {
    scheduler.onProgress(progress, nowNanos);
    scheduler.takeDoubted().forEach(engine -> poller.hasten(engine, nowNanos));
    answerDecided();
  }

  void onTick(long nowNanos) {
    scheduler.advance(nowNanos);
    answerDecided();
    if (nowNanos >= nextRoleDecisionNanos) {
      nextRoleDecisionNanos = nowNanos + ROLE_DECISION_NANOS;
      PoolPolicyRecord policy = operatorsPolicy();
      roleChanges.decide(policy, nowNanos);
      versionRollout.decide(policy.modelVersion(), roleChanges.underWay(), nowNanos);
    }
    roleChanges.advance(nowNanos);
    versionRollout.advance(nowNanos);
    poller.poll(nowNanos);
    digests.publishWhenDue(scheduler.capacity(), nowNanos);
  }

  private PoolPolicyRecord operatorsPolicy() {
    ConfigurationImage image = parts.configuration().get();
    ModelName model = pool.model();
    return image
        .poolPolicy(model)
        .orElseGet(() -> new PoolPolicyRecord(model, 0, 1, 1, DEFAULT_MAX_CHANGING, ""));
  }

  private void answerDecided() {
    for (PlacementDecision decision : scheduler.takeDecisions()) {
      answer(new Waiting(decision.requestId(), decision.attempt()), decision.answer());
    }
  }

  private void answer(Waiting key, PlacementAnswer answer) {
    List<CompletableFuture<PlacementAnswer>> answers = waiting.remove(key);
    if (answers != null) {
      answers.forEach(future -> future.complete(answer));
    }
  }

  /** The leadership is over: everyone who waits must ask the next leader. */
  void end() {
    waiting.values().forEach(all -> all.forEach(f -> f.complete(new PlacementAnswer.NotLeader())));
    waiting.clear();
  }

  /** Who waits for an answer. */
  private record Waiting(RequestId requestId, int attempt) {}
}
