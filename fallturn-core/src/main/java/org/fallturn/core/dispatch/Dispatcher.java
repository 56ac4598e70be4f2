package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.pace.PaceChange;
import org.fallturn.core.pace.WorkKind;
import org.fallturn.core.quarantine.Quarantine;
import org.fallturn.core.quarantine.QuarantineStatus;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineProfile;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.ServiceDefinition;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.stages.StageChange;
import org.fallturn.core.waiting.WaitingParameters;

/**
 * Decides where each request runs and what follows when an attempt fails.
 *
 * <p>Invariants: a request that may not be repeated is sent again only when no engine can have run
 * it; it is called not run only when no engine can have run it; no request may run on more engines
 * than its route allows; repeats stay within the retry budget. Only the dispatch thread calls.
 */
public final class Dispatcher {

  private static final double NANOS_PER_MILLI = 1e6;
  private static final long DEFAULT_CACHE_TOKENS = 400_000;

  private DispatchParameters parameters;
  private final PeerLoads peerLoads = new PeerLoads();
  private final EngineNotices notices;
  private final EngineSelector selector;
  private final PromptPlacement prompts;
  private final StageControl stages;
  private final SilenceDetector silence;
  private final AttemptTimeoutPolicy timeout = new AttemptTimeoutPolicy();
  private final PrefillSpeeds speeds;
  private final PaceObserver pace;
  private final FleetView fleet;
  private final ServiceSplit split = new ServiceSplit();
  private final RetryRules retries;
  private final Refusals refusals;
  private final ApplicationQueue room;
  private final List<EndedWait> shed = new ArrayList<>();
  private final Quarantine quarantine;
  private Optional<RoutingImage> routing = Optional.empty();
  private EngineDirectory listed = EngineDirectory.empty();

  /** A dispatcher that knows no engine yet. */
  public Dispatcher(DispatchParameters parameters) {
    this.parameters = parameters;
    this.retries = new RetryRules(parameters, peerLoads);
    this.refusals = new Refusals(parameters);
    this.quarantine = new Quarantine(parameters.node());
    long lastResortNanos = parameters.lastResort().toNanos();
    this.notices = new EngineNotices(parameters.node(), lastResortNanos);
    this.speeds = new PrefillSpeeds(() -> this.parameters.prefillTokensPerMilli());
    this.pace = new PaceObserver(peerLoads, speeds::of, parameters.learnsPace());
    this.selector =
        new EngineSelector(parameters.zone(), peerLoads, notices, pace.pace(), lastResortNanos);
    this.room = new ApplicationQueue(selector);
    this.fleet = new FleetView(selector, peerLoads, notices, speeds, pace, this::cacheTokens);
    this.prompts = new PromptPlacement(selector, parameters.zone());
    this.silence = new SilenceDetector(selector, peerLoads, speeds::of, this::profile);
    this.stages =
        new StageControl(selector, peerLoads, speeds::of, parameters.node(), parameters.stages());
  }

  /** Takes changed bounds and constants; this node's zone and the windows stay. */
  public void setParameters(DispatchParameters changed) {
    parameters = changed;
    retries.setParameters(changed);
    refusals.setParameters(changed);
  }

  /** Takes a newer list of engines; {@link #directory} is what is believed with it. */
  public void setDirectory(EngineDirectory directory, long nowNanos) {
    listed = directory;
    fleet.setListed(directory);
    directory.all().stream()
        .filter(ServingEngine::leaving)
        .forEach(engine -> notices.onLeaving(engine.id(), NoticeSource.LIST, nowNanos));
    selector.setDirectory(directory(), nowNanos);
    room.retain(selector.knownIds());
    silence.onDirectory(nowNanos);
    pace.onDirectory(directory());
    quarantine.onDirectory(engineId -> directory.find(engineId).isPresent(), nowNanos);
  }

  /** The listed engines, of which those leave that have said so, whatever their entries say. */
  public EngineDirectory directory() {
    return listed.withLeaving(notices::isLeaving);
  }

  /**
   * Engines that were found to leave since the last call; none of them gets a request from now on
   * while its service has another.
   */
  public List<LeavingNotice> takeLeaving(long nowNanos) {
    List<LeavingNotice> found = notices.takePending();
    if (!found.isEmpty()) {
      selector.setDirectory(directory(), nowNanos);
    }
    return found;
  }

  /** Limits of engines that were named, changed or ended since the last call. */
  public List<LimitChange> takeLimitChanges() {
    return notices.limits().takePending();
  }

  /** Takes a newer set of services. */
  public void setRouting(RoutingImage image) {
    split.retain(image.routeNames());
    routing = Optional.of(image);
  }

  /** What the other nodes have at the engines; whoever hears them tells it. */
  public PeerLoads peerLoads() {
    return peerLoads;
  }

  /** Factor by which reading takes longer at an engine than usual. */
  double slowness(String engineId, long nowNanos) {
    return pace.pace().slowness(engineId, WorkKind.READING, nowNanos);
  }

  /** What this node tells the others of the retry budgets, by service. */
  public Map<String, BudgetDigest> ownBudgets(long nowNanos) {
    return retries.digests(nowNanos);
  }

  /** What engines say of themselves; whoever reads their answers tells it. */
  public EngineNotices notices() {
    return notices;
  }

  /** What this node hears from the others of the engines, and tells them. */
  public FleetView fleet() {
    return fleet;
  }

  /** A listed engine. */
  public Optional<ServingEngine> engine(String engineId) {
    return selector.find(engineId);
  }

  /** Contents that crash engines; whoever hears the other nodes or the store tells it. */
  public Quarantine quarantine() {
    return quarantine;
  }

  /** Suspends engines that have gone silent; called several times a second. */
  public void onTick(long nowNanos) {
    notices.reportedLoads().takeAll(pace::onLoadReported);
    pace.onTick(nowNanos);
    silence.check(nowNanos);
    quarantine.onTick(this::lastHeard, nowNanos);
  }

  private OptionalLong lastHeard(String engineId) {
    OptionalLong others = peerLoads.heardNanos(engineId);
    EngineLoad own = selector.loads().get(engineId);
    if (own == null || own.heardNanos().isEmpty()) {
      return others;
    }
    return OptionalLong.of(own.lastSignOfLifeNanos(own.heardNanos().getAsLong(), others));
  }

  /**
   * The stage change that this node should order now, if any; called about every 100 ms. The caller
   * says by one of the next three methods what became of it.
   */
  public Optional<StageChange> wantedStageChange(long nowNanos) {
    return routing.flatMap(image -> stages.onTick(image.services(), nowNanos));
  }

  /** Which engines take which stage, and whether this node orders it. */
  public StageControl stages() {
    return stages;
  }

  /** The change is about to be ordered: its engine gets no new requests. */
  public void onStageChangeBegun(StageChange change, long nowNanos) {
    stages.begin(change, profile(change.engine().service()), nowNanos);
  }

  /** Engines that this node began or ceased to avoid since the last call. */
  public List<HealthChange> takeHealthChanges(long nowNanos) {
    List<HealthChange> changes = new ArrayList<>();
    selector
        .loads()
        .forEach(
            (id, load) -> {
              EngineHealth health = load.health();
              if (health.takeChange()) {
                changes.add(
                    new HealthChange(
                        id,
                        health.suspended(),
                        health.silent(),
                        health.failureShare(nowNanos),
                        load.running()));
              }
            });
    return changes;
  }

  /** Engines found to be slower or faster than others, or no more, since the last call. */
  public List<PaceChange> takePaceChanges(long nowNanos) {
    return pace.takeChanges(nowNanos);
  }

  /** Some of an answer came from the engine that has the request. */
  public void onSignOfLife(RequestProgress progress, long nowNanos) {
    progress.engine().map(selector::load).ifPresent(load -> load.onSignOfLife(progress, nowNanos));
  }

  /**
   * Takes the number of nodes that share the retry budget and the limits, this one included.
   *
   * @param count empty while it is not known
   */
  public void setNodeCount(OptionalInt count) {
    fleet.setNodeCount(count);
    retries.setNodeCount(count);
    room.setNodeCount(count);
    silence.setPeersKnown(count.isPresent());
  }

  /** First decision for a request. */
  public Decision start(RequestProgress progress, long nowNanos) {
    progress.chooseService(split.next(progress.envelope().route()));
    retries.onRequest(progress.service(), nowNanos);
    return place(progress, nowNanos);
  }

  /** The prompt was read; its KV cache waits under the handle. */
  public Decision onPrefilled(RequestProgress progress, String handle, long nowNanos) {
    ServingEngine engine = progress.engine().orElseThrow();
    EngineLoad load = selector.load(engine);
    speeds
        .of(progress.service())
        .observe(
            progress.aheadTokens(),
            progress.chargedTokens(),
            (nowNanos - progress.sentNanos()) / NANOS_PER_MILLI);
    pace.onDone(progress, nowNanos);
    load.onSignOfLife(progress, nowNanos);
    load.health().onSuccess(nowNanos);
    load.promptRead(progress);
    release(progress, false);
    progress.keepSource(new CacheSource(engine, handle));
    return place(progress, false, nowNanos);
  }

  /** The first part of the answer came, so that the prompt has been read. */
  public void onBegan(RequestProgress progress, long nowNanos) {
    pace.onDone(progress, nowNanos);
    progress.engine().ifPresent(engine -> selector.load(engine).onBegan(progress));
    progress.promptRead();
  }

  /**
   * Why an attempt without a sign of an answer had better be ended; empty when it is waited for.
   *
   * @param timeout of the attempt
   */
  public Optional<StuckReason> stuck(RequestProgress progress, Duration timeout, long nowNanos) {
    return silence.stuck(progress, timeout, nowNanos);
  }

  /** An attempt ended without a whole, good answer. */
  public Decision onFailure(RequestProgress progress, AttemptOutcome outcome, long nowNanos) {
    boolean wasPrefill = progress.prefilling();
    progress.engine().ifPresent(engine -> onFailedEngine(progress, engine, outcome, nowNanos));
    release(progress, outcome.mayHaveRun());
    if (!outcome.mayHaveReached()) {
      progress.takeBackSend();
    }
    if (!quarantine.status(progress.content(), nowNanos).sendable()) {
      return outcome == AttemptOutcome.ANSWERED_FAILURE
          ? refusals.after(progress, outcome, Optional.empty())
          : refusals.quarantined(progress);
    }
    if (wasPrefill) {
      return afterFailedPrefill(progress, nowNanos);
    }
    return afterFailedRun(progress, outcome, nowNanos);
  }

  private void onFailedEngine(
      RequestProgress progress, ServingEngine engine, AttemptOutcome outcome, long nowNanos) {
    selector.load(engine).health().onFailure(outcome, nowNanos);
    if (outcome == AttemptOutcome.NOT_EXECUTED && progress.envelope().prompt().isEmpty()) {
      room.onRejection(engine, nowNanos);
    }
    if (outcome.mayBeCrash()) {
      quarantine.onCrash(progress.content(), engine.id(), nowNanos);
    }
    if (outcome == AttemptOutcome.MISDIRECTED) {
      selector.cachedParts().forget(engine.id());
    } else {
      forgetUnread(progress, engine, nowNanos);
    }
  }

  private void forgetUnread(RequestProgress progress, ServingEngine engine, long nowNanos) {
    progress
        .envelope()
        .prompt()
        .ifPresent(
            prompt -> selector.cachedParts().forgetUnread(engine.id(), prompt.parts(), nowNanos));
  }

  /** The answer was passed on whole. */
  public void onFinished(RequestProgress progress, long nowNanos) {
    pace.onDone(progress, nowNanos);
    progress
        .engine()
        .map(selector::load)
        .ifPresent(
            load -> {
              load.health().onSuccess(nowNanos);
              load.onAnswered(progress);
            });
    observeStay(progress, nowNanos);
    quarantine.onSuccess(progress.content(), nowNanos);
    release(progress, true);
  }

  private void observeStay(RequestProgress progress, long nowNanos) {
    double millis = (nowNanos - progress.sentNanos()) / NANOS_PER_MILLI;
    boolean crowded =
        progress.engine().stream()
            .anyMatch(engine -> selector.running(engine, nowNanos) > engine.slots());
    selector.stays().observe(progress.service(), millis, crowded);
  }

  /** The caller left or its time is over; says nothing about the engine. */
  public void onAbandoned(RequestProgress progress, long nowNanos) {
    room.waiting().remove(progress);
    progress
        .engine()
        .ifPresent(
            engine -> {
              selector.load(engine).health().onAbandoned();
              forgetUnread(progress, engine, nowNanos);
            });
    release(progress, true);
  }

  private Decision afterFailedPrefill(RequestProgress progress, long nowNanos) {
    boolean again =
        retries.prefillsLeft(progress) && !selector.prefillCandidates(progress, nowNanos).isEmpty();
    if (!again && selector.runCandidates(progress, nowNanos).isEmpty()) {
      return nowhere(progress, nowNanos);
    }
    if (!retries.takeSend(progress, nowNanos)) {
      return refusals.notRun(
          ErrorKind.NO_CAPACITY,
          RefusalCause.RETRY_BUDGET,
          "the retry budget of " + progress.service() + " is spent");
    }
    return place(progress, again, nowNanos);
  }

  private Decision afterFailedRun(RequestProgress progress, AttemptOutcome outcome, long nowNanos) {
    if (progress.runSends() > 1 || outcome.mayHaveRun()) {
      progress.dropSource();
    }
    boolean hasCandidate = !selector.runCandidates(progress, nowNanos).isEmpty();
    if (retries.mayRunAgain(progress, outcome, hasCandidate, nowNanos)) {
      return place(progress, false, nowNanos);
    }
    return refusals.after(progress, outcome, untilFirstOpens(progress, nowNanos));
  }

  private Decision nowhere(RequestProgress progress, long nowNanos) {
    return refusals.nowhere(progress, untilFirstOpens(progress, nowNanos));
  }

  private Optional<Duration> untilFirstOpens(RequestProgress progress, long nowNanos) {
    return selector.untilFirstOpens(progress.service(), nowNanos);
  }

  private Decision place(RequestProgress progress, long nowNanos) {
    if (progress.envelope().remainingNanos(nowNanos) <= 0) {
      return refusals.notRun(
          ErrorKind.DEADLINE_UNREACHABLE,
          RefusalCause.TIME_OVER,
          "its time was over when it had been read");
    }
    return place(progress, true, nowNanos);
  }

  /**
   * The one way to an engine. A content that has crashed several is stopped here before each send:
   * sent on under every new id, it ends all that runs beside it, 20 engines in 14 s.
   */
  private Decision place(RequestProgress progress, boolean mayPrefill, long nowNanos) {
    QuarantineStatus status = quarantine.status(progress.content(), nowNanos);
    if (!status.sendable()) {
      return refusals.quarantined(progress);
    }
    progress.isolate(status == QuarantineStatus.SUSPECTED);
    Decision decision = placeByCost(progress, mayPrefill && !progress.isolated(), nowNanos);
    if (!(decision instanceof Decision.Refuse)) {
      quarantine.onSent(progress.content(), progress.envelope().requestId());
    }
    return decision;
  }

  private Decision placeByCost(RequestProgress progress, boolean mayPrefill, long nowNanos) {
    selector.onAsked(progress.service(), nowNanos);
    notices.reportedLoads().takeAll(pace::onLoadReported);
    if (progress.envelope().prompt().isEmpty()) {
      return placeApplication(progress, nowNanos);
    }
    PromptShape prompt = progress.envelope().prompt().get();
    PromptPlacement.Question question =
        new PromptPlacement.Question(
            progress,
            prompt,
            speeds.of(progress.service()),
            profile(progress.service()),
            selector.holders(progress, prompt, nowNanos),
            parameters.waiting(),
            nowNanos);
    return prompts
        .choose(question, mayPrefill)
        .filter(plan -> !plan.prefill() || untilFirstOpens(progress, nowNanos).isEmpty())
        .map(plan -> refuseOrCarryOut(question, plan))
        .orElseGet(() -> nowhere(progress, nowNanos));
  }

  private Decision placeApplication(RequestProgress progress, long nowNanos) {
    List<ServingEngine> engines = selector.runCandidates(progress, nowNanos);
    if (engines.isEmpty()) {
      return nowhere(progress, nowNanos);
    }
    WaitingParameters waiting = parameters.waiting();
    if (waiting.waitForRoom() && room.mustWait(progress, engines, nowNanos)) {
      return waitForRoom(progress, engines, nowNanos);
    }
    ServingEngine engine = selector.evenly(progress, engines, waiting, nowNanos);
    return runApplication(progress, engine, nowNanos);
  }

  private Decision waitForRoom(
      RequestProgress progress, List<ServingEngine> engines, long nowNanos) {
    double forecast = room.forecastMillis(progress.service(), engines);
    if (room.hopeless(progress, engines, nowNanos)) {
      return refusals.noRoom(
          progress, RefusalCause.NO_ROOM, forecast, "there is no room in its time", nowNanos);
    }
    int ahead = room.waiting().size(progress.service());
    Decision decision = new Decision.Wait(forecast, ahead);
    for (RequestProgress left :
        room.add(progress, parameters.waiting().maxWaitingBytes(), nowNanos)) {
      Decision refusal =
          refusals.noRoom(
              left,
              RefusalCause.MEMORY_FULL,
              forecast,
              "what waits here has filled its memory",
              nowNanos);
      if (left == progress) {
        decision = refusal;
      } else {
        shed.add(new EndedWait(left, refusal));
      }
    }
    return decision;
  }

  /** A request that no longer waits, and what is next for it. */
  public record EndedWait(RequestProgress progress, Decision decision) {}

  /** Requests whose wait for an engine is over; called at each tick and when anything happened. */
  public List<EndedWait> takeEndedWaits(long nowNanos) {
    if (room.waiting().size() == 0 && shed.isEmpty()) {
      return List.of();
    }
    List<EndedWait> ended = new ArrayList<>(shed);
    shed.clear();
    for (RequestProgress late : room.takeEnded(nowNanos)) {
      ended.add(
          new EndedWait(
              late,
              refusals.notRun(
                  ErrorKind.DEADLINE_UNREACHABLE,
                  RefusalCause.TIME_OVER,
                  "no engine had room for it in its time")));
    }
    for (String service : room.waiting().services()) {
      Optional<RequestProgress> next = room.takeNext(service, nowNanos);
      while (next.isPresent()) {
        ended.add(new EndedWait(next.get(), place(next.get(), false, nowNanos)));
        next = room.takeNext(service, nowNanos);
      }
    }
    return ended;
  }

  /** This node stops: nothing waits here from now on. */
  public List<EndedWait> closeWaits() {
    return room.close().stream().map(one -> new EndedWait(one, refusals.stopping())).toList();
  }

  /** How many requests wait at this node for room at an engine. */
  public int waitingCount() {
    return room.waiting().size();
  }

  /** Memory that their bodies take. */
  public long waitingBytes() {
    return room.waiting().bytes();
  }

  private Decision refuseOrCarryOut(PromptPlacement.Question question, PromptPlacement.Plan plan) {
    Optional<Duration> comeBack = OverloadPolicy.refusal(question, plan);
    if (comeBack.isPresent()) {
      return new Decision.Refuse(
          ErrorKind.NO_CAPACITY,
          RefusalCause.FORESEEN,
          "it would wait " + Math.round(plan.millis()) + " ms for its first token",
          comeBack.map(refusals::atLeastMin));
    }
    return carryOut(question.progress(), plan, question.nowNanos());
  }

  private Decision carryOut(RequestProgress progress, PromptPlacement.Plan plan, long nowNanos) {
    PromptShape prompt = progress.envelope().prompt().orElseThrow();
    ServingEngine engine = plan.engine();
    fleet.onPlaced(engine, prompt, plan.millis(), nowNanos);
    selector.sizes(progress.service()).onCache(progress.cacheTokens());
    pace.onPlaced(progress, plan, nowNanos);
    if (plan.readTokens() > 0) {
      selector.sizes(progress.service()).onRead(plan.readTokens());
    }
    if (!plan.prefill()) {
      return run(progress, engine, plan.fetchFrom(), plan.estimate(), plan.urgency(), nowNanos);
    }
    AttemptTimeout patienceForIt =
        timeout.forPrefill(plan.millis(), progress.envelope().remainingNanos(nowNanos));
    progress.beginPrefill(engine, plan.estimate(), plan.urgency(), nowNanos);
    selector.load(engine).add(progress);
    return new Decision.Prefill(
        engine, plan.fetchFrom(), progress.level(), plan.estimate(), patienceForIt);
  }

  private Decision runApplication(RequestProgress progress, ServingEngine engine, long nowNanos) {
    Urgency urgency = progress.late(nowNanos) ? Urgency.LATE : Urgency.IN_TIME;
    pace.onPlaced(progress, engine, selector.running(engine, nowNanos), nowNanos);
    return run(progress, engine, Optional.empty(), PlacementEstimate.NONE, urgency, nowNanos);
  }

  private Decision run(
      RequestProgress progress,
      ServingEngine engine,
      Optional<ServingEngine> fetchFrom,
      PlacementEstimate estimate,
      Urgency urgency,
      long nowNanos) {
    progress.beginRun(engine, estimate, urgency, nowNanos);
    selector.load(engine).add(progress);
    AttemptTimeout patienceForIt =
        timeout.forRun(progress, estimate.millis(), progress.envelope().remainingNanos(nowNanos));
    return new Decision.Run(
        engine, progress.source(), fetchFrom, progress.level(), estimate, patienceForIt);
  }

  private Optional<EngineProfile> profile(String service) {
    return routing.flatMap(image -> image.service(service)).flatMap(ServiceDefinition::engine);
  }

  private long cacheTokens(String service) {
    return profile(service).map(EngineProfile::cacheTokens).orElse(DEFAULT_CACHE_TOKENS);
  }

  private void release(RequestProgress progress, boolean mayHaveRun) {
    progress.engine().ifPresent(engine -> selector.load(engine).remove(progress));
    quarantine.onEnded(progress.envelope().requestId());
    progress.endAttempt(mayHaveRun);
  }
}
