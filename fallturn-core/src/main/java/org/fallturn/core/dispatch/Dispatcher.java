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
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineProfile;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.ServiceDefinition;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.stages.StageChange;
import org.fallturn.core.waiting.WaitingParameters;

/**
 * Decides which engine serves each request, and what happens after a failed attempt.
 *
 * <p>Invariants: a request that must not be repeated is sent again only when no engine can have run
 * it; an answer says that a request was not run only when no engine can have run it; no request
 * runs on more engines than its route allows; repeats stay within the retry budget. Not
 * thread-safe: only the dispatch thread calls.
 */
public final class Dispatcher {

  private static final double NANOS_PER_MILLI = 1e6;

  /** KV cache of an engine, in tokens, where the profile of its service is not known. */
  private static final long DEFAULT_CACHE_TOKENS = 400_000;

  private DispatchParameters parameters;
  private final PeerLoads peerLoads = new PeerLoads();
  private final EngineNotices notices;
  private final EngineSelector selector;
  private final EnginePaths paths;
  private final PromptPlacement promptPlacement;
  private final StageControl stages;
  private final SilenceDetector silence;
  private final AttemptTimeoutPolicy timeouts = new AttemptTimeoutPolicy();
  private final PrefillSpeeds speeds;
  private final PaceObserver pace;
  private final FleetView fleet;
  private final ServiceSplit split = new ServiceSplit();
  private final RetryRules retries;
  private final Refusals refusals;
  private final ResumedStreams resumedStreams;
  private final ApplicationQueue queue;
  private final List<EndedWait> evictedWaits = new ArrayList<>();
  private final QuarantineGate gate;
  private Optional<RoutingImage> routing = Optional.empty();
  private EngineDirectory listedEngines = EngineDirectory.empty();

  /** Creates a dispatcher that knows no engine yet. */
  public Dispatcher(DispatchParameters parameters) {
    this.parameters = parameters;
    this.retries = new RetryRules(parameters, peerLoads);
    this.refusals = new Refusals(parameters);
    this.gate = new QuarantineGate(new Quarantine(parameters.node()), refusals);
    long lastResortNanos = parameters.lastResort().toNanos();
    this.notices = new EngineNotices(parameters.node(), lastResortNanos);
    this.speeds = new PrefillSpeeds(() -> this.parameters.prefillTokensPerMilli());
    this.pace = new PaceObserver(peerLoads, speeds::of, parameters.learnsPace());
    this.selector =
        new EngineSelector(parameters.zone(), peerLoads, notices, pace.pace(), lastResortNanos);
    this.resumedStreams = new ResumedStreams(selector, refusals);
    this.paths = new EnginePaths(selector, peerLoads, notices.limits());
    this.queue = new ApplicationQueue(selector);
    this.fleet = new FleetView(selector, peerLoads, notices, speeds, pace, this::cacheTokens);
    this.promptPlacement = new PromptPlacement(selector, parameters.zone());
    this.silence = new SilenceDetector(selector, peerLoads, speeds::of, this::profile);
    this.stages =
        new StageControl(selector, peerLoads, speeds::of, parameters.node(), parameters.stages());
  }

  /** Applies changed parameters; the zone of this node and the windows stay as they are. */
  public void setParameters(DispatchParameters changed) {
    parameters = changed;
    retries.setParameters(changed);
    refusals.setParameters(changed);
  }

  /** Applies a newer list of engines; {@link #directory} adds what engines report about leaving. */
  public void setDirectory(EngineDirectory directory, long nowNanos) {
    listedEngines = directory;
    fleet.setListed(directory);
    resumedStreams.tracker().onDirectory(directory, nowNanos);
    directory.all().stream()
        .filter(ServingEngine::leaving)
        .forEach(engine -> notices.onLeaving(engine.id(), NoticeSource.LIST, nowNanos));
    selector.setDirectory(directory(), nowNanos);
    queue.retain(selector.knownIds());
    silence.onDirectory(nowNanos);
    pace.onDirectory(directory());
    quarantine().onDirectory(engineId -> directory.find(engineId).isPresent(), nowNanos);
  }

  /** The listed engines; one that announced its leaving is marked so, whatever its entry says. */
  public EngineDirectory directory() {
    return listedEngines.withLeaving(notices::isLeaving);
  }

  /** Engines found to leave since the last call, now used only if their service has no other. */
  public List<LeavingNotice> takeLeaving(long nowNanos) {
    List<LeavingNotice> found = notices.takePending();
    if (!found.isEmpty()) {
      selector.setDirectory(directory(), nowNanos);
    }
    return found;
  }

  /** Limits of engines that were reported, changed or ended since the last call. */
  public List<LimitChange> takeLimitChanges() {
    return notices.limits().takePending();
  }

  /** Applies a newer set of services. */
  public void setRouting(RoutingImage image) {
    split.retain(image.routeNames());
    retries.setRouting(image);
    resumedStreams.tracker().setRouting(image);
    routing = Optional.of(image);
  }

  /** The load that other nodes report for the engines; whoever receives their reports adds them. */
  public PeerLoads peerLoads() {
    return peerLoads;
  }

  /** Factor by which an engine reads prompts more slowly than usual. */
  double slowness(String engineId, long nowNanos) {
    return pace.pace().slowness(engineId, WorkKind.READING, nowNanos);
  }

  /** The retry budgets that this node reports to the others, by service. */
  public Map<String, BudgetDigest> ownBudgets(long nowNanos) {
    return retries.digests(nowNanos);
  }

  /** What engines report about themselves; whoever reads their answers adds it. */
  public EngineNotices notices() {
    return notices;
  }

  /** What nodes report to each other about engines: received reports, and those of this node. */
  public FleetView fleet() {
    return fleet;
  }

  /** Requests that continue streams, and at which software versions streams began. */
  public ResumedStreams resumedStreams() {
    return resumedStreams;
  }

  /** Returns a listed engine. */
  public Optional<ServingEngine> engine(String engineId) {
    return selector.find(engineId);
  }

  /** Contents that crash engines, added by whoever gets reports from other nodes or the store. */
  public Quarantine quarantine() {
    return gate.quarantine();
  }

  /** Suspends engines that have fallen silent; called several times a second. */
  public void onTick(long nowNanos) {
    notices.reportedLoads().takeAll(pace::onLoadReported);
    pace.onTick(nowNanos);
    paths.onTick(nowNanos);
    silence.check(nowNanos);
    quarantine().onTick(this::lastHeard, nowNanos);
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
   * The stage change to order now, if any; called about every 100 ms. The caller reports the order
   * by {@link #onStageChangeBegun}; one not given, refused or unanswered, by {@link #stages}.
   */
  public Optional<StageChange> wantedStageChange(long nowNanos) {
    return routing.flatMap(image -> stages.onTick(image.services(), nowNanos));
  }

  /** Decides which stage each engine serves, and whether this node orders the changes. */
  public StageControl stages() {
    return stages;
  }

  /** A stage change is about to be ordered; its engine gets no new requests. */
  public void onStageChangeBegun(StageChange change, long nowNanos) {
    stages.begin(change, profile(change.engine().service()), nowNanos);
  }

  /** Engines that this node began or ceased to avoid since the last call. */
  public List<HealthChange> takeHealthChanges(long nowNanos) {
    return selector.takeHealthChanges(nowNanos);
  }

  /** The ways by which this node reaches the engines. */
  public EnginePaths paths() {
    return paths;
  }

  /** Engines found to be slower or faster than others, or no longer so, since the last call. */
  public List<PaceChange> takePaceChanges(long nowNanos) {
    return pace.takeChanges(nowNanos);
  }

  /** Part of an answer came from the engine that has the request. */
  public void onSignOfLife(RequestProgress progress, long nowNanos) {
    paths.onAnswer(progress);
    progress.engine().map(selector::load).ifPresent(load -> load.onSignOfLife(progress, nowNanos));
  }

  /** Sets how many nodes share the engines, if known. Only a settled count divides bounds. */
  public void setNodeCount(OptionalInt count, boolean settled) {
    OptionalInt sharing = settled ? count : OptionalInt.empty();
    fleet.setNodeCount(sharing);
    retries.setNodeCount(sharing);
    queue.setNodeCount(count);
    silence.setPeersKnown(count.isPresent());
    stages.setPeersKnown(count.isPresent());
  }

  /** Makes the first decision for a request. */
  public Decision start(RequestProgress progress, long nowNanos) {
    progress.chooseService(split.next(progress.envelope().route()));
    Optional<Decision> refusal = resumedStreams.bind(progress, nowNanos);
    retries.onRequest(progress.service(), nowNanos);
    return refusal.orElseGet(() -> place(progress, nowNanos));
  }

  /** The prompt has been read; the handle names its KV cache, which another engine can fetch. */
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
    onSignOfLife(progress, nowNanos);
    load.onSuccess(progress, nowNanos);
    load.promptRead(progress);
    release(progress, false);
    progress.keepSource(new CacheSource(engine, handle));
    return place(progress, false, nowNanos);
  }

  /** The first part of the answer came, so the prompt has been read. */
  public void onBegan(RequestProgress progress, long nowNanos) {
    pace.onDone(progress, nowNanos);
    progress.engine().ifPresent(engine -> selector.load(engine).onBegan(progress));
    resumedStreams.onBegan(progress, nowNanos);
    progress.promptRead();
  }

  /** Why to give up an attempt that has brought no part of an answer; empty while to wait on. */
  public Optional<StuckReason> stuck(RequestProgress progress, Duration timeout, long nowNanos) {
    return silence.stuck(progress, timeout, nowNanos);
  }

  /** An attempt ended without a complete, successful answer. */
  public Decision onFailure(RequestProgress progress, AttemptOutcome outcome, long nowNanos) {
    boolean wasPrefill = progress.prefilling();
    progress.engine().ifPresent(engine -> onFailedEngine(progress, engine, outcome, nowNanos));
    progress.recordFailedSend(outcome);
    release(progress, outcome.mayHaveRun());
    Optional<Decision> refusal = gate.refusalAfter(outcome, progress, nowNanos);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    if (wasPrefill) {
      return afterFailedPrefill(progress, nowNanos);
    }
    return afterFailedRun(progress, outcome, nowNanos);
  }

  private void onFailedEngine(
      RequestProgress progress, ServingEngine engine, AttemptOutcome outcome, long nowNanos) {
    if (progress.forwarder().isPresent()) {
      paths.onForwardedFailure(progress, engine, outcome, nowNanos);
    } else {
      selector.load(engine).health().onFailure(outcome, nowNanos);
    }
    if (outcome == AttemptOutcome.NOT_EXECUTED && progress.envelope().prompt().isEmpty()) {
      queue.onRejection(engine, nowNanos);
    }
    gate.onFailure(progress, engine, outcome, nowNanos);
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

  /** The complete answer, which told its end, was passed on to the caller. */
  public void onFinished(RequestProgress progress, long nowNanos) {
    onFinished(progress, true, nowNanos);
  }

  /**
   * The complete answer was passed on to the caller.
   *
   * @param endIsMarked whether the answer itself told where it ends; else its connection ended
   */
  public void onFinished(RequestProgress progress, boolean endIsMarked, long nowNanos) {
    pace.onDone(progress, nowNanos);
    onSignOfLife(progress, nowNanos);
    progress.engine().map(selector::load).ifPresent(load -> load.onSuccess(progress, nowNanos));
    observeResponseTime(progress, nowNanos);
    gate.onSuccess(progress, endIsMarked, nowNanos);
    release(progress, true);
  }

  private void observeResponseTime(RequestProgress progress, long nowNanos) {
    double millis = (nowNanos - progress.sentNanos()) / NANOS_PER_MILLI;
    boolean crowded =
        progress.engine().stream()
            .anyMatch(engine -> selector.running(engine, nowNanos) > engine.slots());
    selector.responseTimes().observe(progress.service(), millis, crowded);
  }

  /** The caller left or its deadline passed; this says nothing about the engine. */
  public void onAbandoned(RequestProgress progress, long nowNanos) {
    queue.waiting().remove(progress);
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
    boolean retryPrefill =
        retries.prefillsLeft(progress) && !selector.prefillCandidates(progress, nowNanos).isEmpty();
    if (!retryPrefill && selector.runCandidates(progress, nowNanos).isEmpty()) {
      return noEngineLeft(progress, nowNanos);
    }
    if (!retries.takeSend(progress, nowNanos)) {
      return refusals.notRun(
          progress,
          ErrorKind.NO_CAPACITY,
          RefusalCause.RETRY_BUDGET,
          "the retry budget of " + progress.service() + " is spent");
    }
    return place(progress, retryPrefill, nowNanos);
  }

  private Decision afterFailedRun(RequestProgress progress, AttemptOutcome outcome, long nowNanos) {
    if (progress.runSends() > 1 || outcome.mayHaveRun()) {
      progress.dropSource();
    }
    boolean hasCandidate = !selector.runCandidates(progress, nowNanos).isEmpty();
    if (retries.mayRunAgain(progress, outcome, hasCandidate, nowNanos)) {
      return place(progress, false, nowNanos);
    }
    return refusals.after(progress, outcome, timeUntilFirstOpen(progress, nowNanos));
  }

  private Decision noEngineLeft(RequestProgress progress, long nowNanos) {
    return resumedStreams.isVersionGone(progress)
        ? refusals.versionGone(progress)
        : refusals.noEngineLeft(progress, timeUntilFirstOpen(progress, nowNanos));
  }

  private Optional<Duration> timeUntilFirstOpen(RequestProgress progress, long nowNanos) {
    return selector.timeUntilFirstOpen(progress.service(), nowNanos);
  }

  private Decision place(RequestProgress progress, long nowNanos) {
    if (progress.envelope().remainingNanos(nowNanos) <= 0) {
      return refusals.notRun(
          progress,
          ErrorKind.DEADLINE_UNREACHABLE,
          RefusalCause.TIME_OVER,
          "its time was over when it had been read");
    }
    return place(progress, true, nowNanos);
  }

  /** Every send to an engine goes through this method. */
  private Decision place(RequestProgress progress, boolean mayPrefill, long nowNanos) {
    return gate.refusal(progress, nowNanos)
        .orElseGet(() -> placeUnrefused(progress, mayPrefill, nowNanos));
  }

  private Decision placeUnrefused(RequestProgress progress, boolean mayPrefill, long nowNanos) {
    Decision decision = placeByCost(progress, mayPrefill && !progress.isolated(), nowNanos);
    if (decision instanceof Decision.Prefill || decision instanceof Decision.Run) {
      gate.onSent(progress);
    }
    return decision;
  }

  private Decision placeByCost(RequestProgress progress, boolean mayPrefill, long nowNanos) {
    selector.onPlacing(progress.service(), nowNanos);
    notices.reportedLoads().takeAll(pace::onLoadReported);
    if (progress.envelope().prompt().isEmpty()) {
      return placeApplication(progress, nowNanos);
    }
    if (resumedStreams.lacksEngine(progress, nowNanos)) {
      return noEngineLeft(progress, nowNanos);
    }
    PromptShape prompt = progress.envelope().prompt().get();
    PromptPlacement.Input input =
        new PromptPlacement.Input(
            progress,
            prompt,
            speeds.of(progress.service()),
            profile(progress.service()),
            selector.holders(progress, prompt, nowNanos),
            parameters.waiting(),
            nowNanos);
    return promptPlacement
        .choose(input, mayPrefill)
        .filter(plan -> !plan.prefill() || timeUntilFirstOpen(progress, nowNanos).isEmpty())
        .map(plan -> refuseOrStartAttempt(input, plan))
        .orElseGet(() -> noEngineLeft(progress, nowNanos));
  }

  private Decision placeApplication(RequestProgress progress, long nowNanos) {
    List<ServingEngine> engines = selector.runCandidates(progress, nowNanos);
    if (engines.isEmpty()) {
      return noEngineLeft(progress, nowNanos);
    }
    WaitingParameters waiting = parameters.waiting();
    if (waiting.waitForRoom() && queue.mustWait(progress, engines, nowNanos)) {
      return waitForRoom(progress, engines, nowNanos);
    }
    ServingEngine engine = selector.chooseByWaterFilling(progress, engines, waiting, nowNanos);
    return runApplication(progress, engine, nowNanos);
  }

  private Decision waitForRoom(
      RequestProgress progress, List<ServingEngine> engines, long nowNanos) {
    double forecast = queue.forecastMillis(progress.service(), engines);
    if (queue.cannotBeServedInTime(progress, engines, nowNanos)) {
      return refusals.noRoom(
          progress, RefusalCause.NO_ROOM, forecast, "there is no room in its time", nowNanos);
    }
    int ahead = queue.waiting().size(progress.service());
    Decision decision = new Decision.Wait(forecast, ahead);
    for (RequestProgress evicted :
        queue.add(progress, parameters.waiting().maxWaitingBytes(), nowNanos)) {
      Decision refusal =
          refusals.noRoom(
              evicted,
              RefusalCause.MEMORY_FULL,
              forecast,
              "what waits here has filled its memory",
              nowNanos);
      if (evicted == progress) {
        decision = refusal;
      } else {
        evictedWaits.add(new EndedWait(evicted, refusal));
      }
    }
    return decision;
  }

  /** Requests whose wait for an engine is over; called at each tick and after every event. */
  public List<EndedWait> takeEndedWaits(long nowNanos) {
    if (queue.waiting().size() == 0 && evictedWaits.isEmpty()) {
      return List.of();
    }
    List<EndedWait> ended = new ArrayList<>(evictedWaits);
    evictedWaits.clear();
    for (RequestProgress expired : queue.takeExpired(nowNanos)) {
      ended.add(
          new EndedWait(
              expired,
              refusals.notRun(
                  expired,
                  ErrorKind.DEADLINE_UNREACHABLE,
                  RefusalCause.TIME_OVER,
                  "no engine had room for it in its time")));
    }
    for (String service : queue.waiting().services()) {
      Optional<RequestProgress> next = queue.takeNext(service, nowNanos);
      while (next.isPresent()) {
        ended.add(new EndedWait(next.get(), place(next.get(), false, nowNanos)));
        next = queue.takeNext(service, nowNanos);
      }
    }
    return ended;
  }

  /** Ends all waits because this node is stopping; no request waits here from now on. */
  public List<EndedWait> closeWaits() {
    return queue.close().stream()
        .map(request -> new EndedWait(request, refusals.stopping(request)))
        .toList();
  }

  /** Number of requests that wait at this node for room at an engine. */
  public int waitingCount() {
    return queue.waiting().size();
  }

  /** Memory that the bodies of the waiting requests take, in bytes. */
  public long waitingBytes() {
    return queue.waiting().bytes();
  }

  private Decision refuseOrStartAttempt(PromptPlacement.Input input, PromptPlacement.Plan plan) {
    Optional<Duration> retryDelay = OverloadPolicy.refusal(input, plan);
    if (retryDelay.isPresent()) {
      return refusals.foreseen(input.progress(), plan.millis(), retryDelay.get());
    }
    return startAttempt(input.progress(), plan, input.nowNanos());
  }

  private Decision startAttempt(
      RequestProgress progress, PromptPlacement.Plan plan, long nowNanos) {
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
    AttemptTimeout attemptTimeout =
        timeouts.forPrefill(plan.millis(), progress.envelope().remainingNanos(nowNanos));
    progress.beginPrefill(engine, plan.estimate(), plan.urgency(), nowNanos);
    progress.sendThrough(paths.forwarderFor(engine, nowNanos));
    selector.load(engine).add(progress);
    return new Decision.Prefill(
        engine, plan.fetchFrom(), progress.level(), plan.estimate(), attemptTimeout);
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
    progress.sendThrough(paths.forwarderFor(engine, nowNanos));
    selector.load(engine).add(progress);
    AttemptTimeout attemptTimeout =
        timeouts.forRun(progress, estimate.millis(), progress.envelope().remainingNanos(nowNanos));
    return new Decision.Run(
        engine, progress.source(), fetchFrom, progress.level(), estimate, attemptTimeout);
  }

  private Optional<EngineProfile> profile(String service) {
    return routing.flatMap(image -> image.service(service)).flatMap(ServiceDefinition::engine);
  }

  private long cacheTokens(String service) {
    return profile(service).map(EngineProfile::cacheTokens).orElse(DEFAULT_CACHE_TOKENS);
  }

  private void release(RequestProgress progress, boolean mayHaveRun) {
    progress.engine().ifPresent(engine -> selector.load(engine).remove(progress));
    gate.onEnded(progress);
    progress.endAttempt(mayHaveRun);
  }
}
