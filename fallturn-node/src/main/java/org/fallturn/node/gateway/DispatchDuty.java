package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.fallturn.core.dispatch.AttemptTimeout;
import org.fallturn.core.dispatch.CacheSource;
import org.fallturn.core.dispatch.Decision;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.dispatch.EndedWait;
import org.fallturn.core.dispatch.ErrorAnswer;
import org.fallturn.core.dispatch.LeavingNotice;
import org.fallturn.core.dispatch.NoticeSource;
import org.fallturn.core.dispatch.RequestProgress;
import org.fallturn.core.dispatch.StuckReason;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.quarantine.RequestContent;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.stages.StageChange;
import org.fallturn.node.duty.DutyHandler;
import org.fallturn.node.duty.TickPart;

/**
 * Event handler of the dispatch duty: asks the dispatcher for the next step of each request and
 * executes it. Only its thread touches the dispatcher and the progress of requests. It starts sends
 * and answers; client and server threads continue them.
 */
final class DispatchDuty implements DutyHandler<DispatchEvent> {

  /**
   * Prompts with fewer shared tokens do not wait for cache lists: an engine prefills so few tokens
   * sooner than the wait would end.
   */
  private static final int MIN_SHARED_TOKENS_TO_WAIT = 2_000;

  private final Dispatcher dispatcher;
  private final EngineClient engines;
  private final DecisionLog log;
  private final PeerMessenger peers;
  private final Set<Exchange> active = new HashSet<>();
  private final PendingRequestTerminator terminator;
  private final RequestSteps steps = new RequestSteps(this::endAfterFault);
  private final CacheSurvey survey;
  private final DispatchUpkeep upkeep;
  private final QuarantineActions quarantineActions;
  private final PathActions pathActions;
  private final RunCounter runs;
  private final Scaling scaling;
  private final List<Exchange> waitingForCacheLists = new ArrayList<>();
  private final OriginWaits waitingForOrigin;
  private final Map<RequestProgress, Exchange> waitingForEngine = new HashMap<>();
  private final BooleanSupplier stopping;

  DispatchDuty(
      Dispatcher dispatcher,
      EngineClient engines,
      DecisionLog log,
      PeerMessenger peers,
      CacheSurvey survey,
      Consumer<StageChange> stageChanges,
      QuarantineActions quarantineActions,
      PathActions pathActions,
      RunCounter runs,
      Scaling scaling,
      Runnable directoryConfirmation,
      BooleanSupplier stopping) {
    this.dispatcher = dispatcher;
    this.engines = engines;
    this.log = log;
    this.terminator = new PendingRequestTerminator(engines, log);
    this.peers = peers;
    this.survey = survey;
    this.quarantineActions = quarantineActions;
    this.pathActions = pathActions;
    this.runs = runs;
    this.scaling = scaling;
    this.stopping = stopping;
    this.upkeep = new DispatchUpkeep(dispatcher, engines, log, pathActions, scaling, stageChanges);
    this.waitingForOrigin = new OriginWaits(dispatcher.resumedStreams(), directoryConfirmation);
  }

  private void onCacheListed(DispatchEvent.CacheListed answer, long now) {
    log.cacheListed(answer);
    answer
        .parts()
        .ifPresent(parts -> dispatcher.fleet().onEngineCacheListing(parts, answer.askedAtNanos()));
    survey.onAnswer(answer, now);
    peers.onCacheListed(answer, now);
    startDelayed(now);
  }

  /** Relays write again what all nodes know, since each write has its price. */
  private void onStoreRestored() {
    scaling.onStoreRestored();
    if (peers.isRelay()) {
      quarantineActions.storeAgain();
    }
  }

  /** A fault of one request's event ends that request; one of the notices loses no event. */
  @Override
  public void onEvent(DispatchEvent event) {
    long now = System.nanoTime();
    try {
      applyNotices(now);
    } finally {
      applyOrEnd(event, now);
    }
  }

  private void applyOrEnd(DispatchEvent event, long now) {
    try {
      apply(event, now);
    } catch (RuntimeException fault) {
      if (event instanceof DispatchEvent.OfRequest ofRequest) {
        steps.endAfterFault(ofRequest.exchange(), fault, () -> terminator.onUnhandledEvent(event));
      }
      throw fault;
    }
  }

  /** A request whose answer is being relayed is left to the events that follow. */
  private void endAfterFault(Exchange exchange) {
    terminator.terminate(exchange);
    if (exchange.isCompleted()) {
      active.remove(exchange);
      waitingForEngine.remove(exchange.progress());
      runs.onEnded(exchange, System.nanoTime());
      dispatcher.onAbandoned(exchange.progress(), System.nanoTime());
    }
  }

  private void apply(DispatchEvent event, long now) {
    if (event instanceof DispatchEvent.Arrived arrived) {
      onArrived(arrived.exchange(), now);
    } else if (event instanceof DispatchEvent.Prefilled prefilled) {
      onPrefilled(prefilled, now);
    } else if (event instanceof DispatchEvent.AnswerBegan began) {
      if (isCurrentAttempt(began.exchange(), began.attempt())) {
        log.began(began.exchange(), now);
        runs.onBegan(began.exchange());
        dispatcher.onBegan(began.exchange().progress(), now);
        dispatcher.onSignOfLife(began.exchange().progress(), now);
      }
    } else if (event instanceof DispatchEvent.AttemptFailed failed) {
      onFailed(failed, now);
    } else if (event instanceof DispatchEvent.ForwarderFailed failed) {
      if (isCurrentAttempt(failed.exchange(), failed.attempt())) {
        dispatcher.paths().onForwarderFailed(failed.exchange().progress(), now);
      }
    } else if (event instanceof DispatchEvent.Finished finished) {
      onFinished(finished, now);
    } else if (event instanceof DispatchEvent.CallerGone gone) {
      onCallerGone(gone.exchange(), now);
    } else if (event instanceof DispatchEvent.DirectoryChanged changed) {
      onDirectory(changed, now);
    } else if (event instanceof DispatchEvent.DirectoryConfirmed confirmed) {
      onDirectoryConfirmed(confirmed.begunNanos(), now);
    } else if (event instanceof DispatchEvent.CacheListed answer) {
      onCacheListed(answer, now);
    } else if (event instanceof DispatchEvent.RoutingChanged changed) {
      dispatcher.setRouting(changed.image());
      scaling.setServices(changed.image().services());
      engines.setServices(changed.image());
      peers.sendDue(now);
    } else if (event instanceof DispatchEvent.StoreRestored) {
      onStoreRestored();
    } else if (event instanceof DispatchEvent.StageChangeBegun begun) {
      dispatcher.onStageChangeBegun(begun.change(), now);
      peers.sendNow(now);
    } else if (event instanceof DispatchEvent.StageChangeAbandoned abandoned) {
      dispatcher.stages().abandon(abandoned.change());
    } else if (event instanceof DispatchEvent.CannotLead) {
      dispatcher.stages().onLeaderDutyFailed(now);
      peers.sendNow(now);
    } else if (event instanceof DispatchEvent.StageOrderUnanswered unanswered) {
      dispatcher.stages().onUnanswered(unanswered.change(), now);
    } else if (event instanceof DispatchEvent.PathProbed probed) {
      pathActions.onProbed(probed);
    } else if (event instanceof DispatchEvent.EngineGone gone) {
      quarantineActions.onEngineGone(gone.engineId(), now);
    } else if (event instanceof DispatchEvent.QuarantineLoaded loaded) {
      dispatcher.quarantine().onLoadedFromStore(loaded.held(), now);
    } else if (event instanceof DispatchEvent.QuarantineStored stored) {
      dispatcher.quarantine().onStored(stored.content(), now);
    } else if (event instanceof DispatchEvent.ParametersChanged changed) {
      dispatcher.setParameters(changed.parameters());
    } else if (event instanceof DispatchEvent.UsageDone done) {
      runs.onDone(done.window());
    } else if (event instanceof DispatchEvent.InitialCountsKnown known) {
      scaling.onInitialCounts(known.service(), known.byZone());
    } else if (event instanceof DispatchEvent.ScaleOrderAnswered answered) {
      scaling.onAnswer(answered.order(), answered.outcome(), now);
    } else if (event instanceof DispatchEvent.PeerMessageReceived received) {
      received.message().usage().ifPresent(runs::onPeerReport);
      peers.onMessage(received.message(), now);
      startDelayed(now);
    }
  }

  private void onDirectory(DispatchEvent.DirectoryChanged changed, long now) {
    dispatcher.setDirectory(changed.directory(), now);
    if (changed.missedEntries()) {
      dispatcher.resumedStreams().tracker().onMissedEntries(now);
    }
    scaling.setDirectory(dispatcher.directory());
    survey.onDirectory(changed.directory(), now);
    peers.sendDue(now);
  }

  private void onDirectoryConfirmed(long begunNanos, long now) {
    dispatcher.resumedStreams().tracker().onDirectoryConfirmed(begunNanos);
    startThoseWithOrigin(now);
  }

  private void applyNotices(long now) {
    applyLeaving(now);
    dispatcher.takeLimitChanges().forEach(log::engineLimit);
  }

  /**
   * Applies notices of leaving engines before any other decision. Without this an engine that had
   * announced in an answer that it leaves was used for another 12 s while the store was
   * unreachable.
   */
  private void applyLeaving(long now) {
    List<LeavingNotice> leaving = dispatcher.takeLeaving(now);
    if (!leaving.isEmpty()) {
      leaving.forEach(log::engineLeaves);
      scaling.setDirectory(dispatcher.directory());
    }
    if (leaving.stream().anyMatch(notice -> notice.source() == NoticeSource.ANSWER)) {
      peers.sendNow(now);
    }
  }

  private void onArrived(Exchange exchange, long now) {
    active.add(exchange);
    if (endIfOver(exchange, now)) {
      return;
    }
    if (waitingForOrigin.add(exchange, now)) {
      return;
    }
    if (survey.shouldDelayPrompts(now) && hasLongSharedParts(exchange)) {
      waitingForCacheLists.add(exchange);
    } else {
      start(exchange, now);
    }
  }

  /**
   * Ends a request that no engine is to answer, before anything is decided for it: while this
   * thread is late, the event that tells so is still behind others.
   */
  private boolean endIfOver(Exchange exchange, long now) {
    Optional<RequestEnd> end = exchange.end(now);
    end.ifPresent(why -> end(exchange, why, now));
    return end.isPresent();
  }

  private void end(Exchange exchange, RequestEnd why, long now) {
    if (why == RequestEnd.CALLER_GONE) {
      onCallerGone(exchange, now);
    } else {
      onTimeOver(exchange, why, now);
    }
  }

  private void start(Exchange exchange, long now) {
    execute(exchange, dispatcher.start(exchange.progress(), now), now);
  }

  private static boolean hasLongSharedParts(Exchange exchange) {
    return exchange
        .envelope()
        .prompt()
        .filter(prompt -> prompt.sharedTokens() >= MIN_SHARED_TOKENS_TO_WAIT)
        .isPresent();
  }

  /** Starts the requests that waited to learn what other nodes know of them. */
  private void startDelayed(long now) {
    startThoseWithOrigin(now);
    if (waitingForCacheLists.isEmpty() || survey.shouldDelayPrompts(now)) {
      return;
    }
    List<Exchange> due = List.copyOf(waitingForCacheLists);
    waitingForCacheLists.clear();
    steps.forEach(due.stream().filter(active::contains).toList(), exchange -> start(exchange, now));
  }

  private void startThoseWithOrigin(long now) {
    steps.forEach(
        waitingForOrigin.takeDue(active::contains, now), exchange -> start(exchange, now));
  }

  private void onPrefilled(DispatchEvent.Prefilled event, long now) {
    Exchange exchange = event.exchange();
    if (!isCurrentAttempt(exchange, event.attempt())) {
      engines.freeHandle(event.attempt().call().engine(), event.handle());
      return;
    }
    log.prefilled(exchange);
    if (endIfOver(exchange, now)) {
      engines.freeHandle(event.attempt().call().engine(), event.handle());
      return;
    }
    execute(exchange, dispatcher.onPrefilled(exchange.progress(), event.handle(), now), now);
  }

  private void onFailed(DispatchEvent.AttemptFailed event, long now) {
    Exchange exchange = event.exchange();
    if (!isCurrentAttempt(exchange, event.attempt())) {
      return;
    }
    log.attemptFailed(exchange, event.attempt(), event.outcome());
    if (exchange.end(now).filter(RequestEnd.CALLER_GONE::equals).isPresent()) {
      onCallerGone(exchange, now);
      return;
    }
    runs.onFailed(exchange, event.outcome(), now);
    Optional<CacheSource> source = exchange.progress().source();
    Decision next = dispatcher.onFailure(exchange.progress(), event.outcome(), now);
    exchange.progress().takeBudgetUse().ifPresent(use -> log.retryBudget(exchange, use));
    if (event.outcome().mayHaveReached() && exchange.progress().source().isEmpty()) {
      source.ifPresent(from -> engines.freeHandle(from.engine(), from.handle()));
    }
    execute(exchange, next, now);
  }

  private boolean isCurrentAttempt(Exchange exchange, EngineAttempt attempt) {
    return active.contains(exchange) && exchange.attempt().filter(a -> a == attempt).isPresent();
  }

  private void onFinished(DispatchEvent.Finished event, long now) {
    Exchange exchange = event.exchange();
    if (active.remove(exchange)) {
      log.finished(exchange, now);
      runs.onEnded(exchange, now);
      dispatcher.onFinished(exchange.progress(), event.attempt().endIsMarked(), now);
    }
  }

  private void onCallerGone(Exchange exchange, long now) {
    if (!active.remove(exchange)) {
      return;
    }
    log.callerGone(exchange);
    abandon(exchange, "the caller left", now);
    exchange.abort();
  }

  private void abandon(Exchange exchange, String why, long now) {
    waitingForEngine.remove(exchange.progress());
    runs.onEnded(exchange, now);
    exchange.attempt().ifPresent(attempt -> attempt.cancel(why));
    boolean fetches =
        !exchange.progress().prefilling()
            && exchange.attempt().filter(EngineAttempt::mayReachEngine).isPresent();
    if (!fetches) {
      freeSource(exchange);
    }
    dispatcher.onAbandoned(exchange.progress(), now);
  }

  /** Frees the KV cache that an engine holds for the request, if any: nobody will fetch it. */
  private void freeSource(Exchange exchange) {
    exchange
        .progress()
        .source()
        .ifPresent(from -> engines.freeHandle(from.engine(), from.handle()));
  }

  private void execute(Exchange exchange, Decision decision, long now) {
    log.decided(exchange, decision);
    if (decision instanceof Decision.Prefill prefill) {
      send(
          exchange,
          call(
              exchange,
              prefill.engine(),
              true,
              Optional.empty(),
              prefill.fetchFrom(),
              prefill.urgency(),
              now),
          prefill.timeout());
    } else if (decision instanceof Decision.Run run) {
      send(
          exchange,
          call(exchange, run.engine(), false, run.source(), run.fetchFrom(), run.urgency(), now),
          run.timeout());
    } else if (decision instanceof Decision.Wait) {
      exchange.beginWait(now);
      waitingForEngine.put(exchange.progress(), exchange);
    } else if (decision instanceof Decision.Refuse refuse) {
      active.remove(exchange);
      freeSource(exchange);
      boolean withReason =
          refuse.kind() == ErrorKind.QUARANTINED || refuse.kind() == ErrorKind.VERSION_GONE;
      exchange.refuse(refuse.answer(), withReason ? refuse.reason() : "");
    } else if (decision instanceof Decision.PassFailure) {
      active.remove(exchange);
      exchange.relayEngineFailure(exchange.attempt().orElseThrow(), engines.protocol());
    }
  }

  /** Resumes the requests that need not, or must not, wait for an engine any longer. */
  private void resumeWaiting(long now) {
    if (stopping.getAsBoolean()) {
      resumeWaiting(dispatcher.closeWaits(), now);
    }
    resumeWaiting(dispatcher.takeEndedWaits(now), now);
    log.waiting(dispatcher.waitingCount(), dispatcher.waitingBytes());
  }

  private void resumeWaiting(List<EndedWait> ended, long now) {
    Map<Exchange, Decision> decisions = new LinkedHashMap<>();
    for (EndedWait end : ended) {
      Exchange exchange = waitingForEngine.remove(end.progress());
      if (exchange != null) {
        decisions.put(exchange, end.decision());
      }
    }
    steps.forEach(
        decisions.keySet(),
        exchange -> {
          log.waited(exchange, now);
          execute(exchange, decisions.get(exchange), now);
        });
  }

  private static EngineCall call(
      Exchange exchange,
      ServingEngine engine,
      boolean prefillOnly,
      Optional<CacheSource> source,
      Optional<ServingEngine> fetchFrom,
      int urgency,
      long now) {
    return new EngineCall(
        engine,
        prefillOnly,
        source,
        fetchFrom,
        exchange.envelope().caller(),
        timeLeft(exchange, now),
        urgency,
        exchange.lastEventId());
  }

  private static Duration timeLeft(Exchange exchange, long now) {
    return Duration.ofNanos(Math.max(0, exchange.remainingNanos(now)));
  }

  private void send(Exchange exchange, EngineCall call, AttemptTimeout timeout) {
    EngineAttempt attempt = new EngineAttempt(exchange, call, engines, timeout);
    exchange.setAttempt(attempt);
    engines.send(exchange, attempt);
  }

  /**
   * Reports to the other nodes without waiting for the next tick: newly placed prompts, so that no
   * other node has the same parts prefilled on another engine, and crashes, so that no other node
   * sends requests that have crashed engines.
   */
  @Override
  public void onBatchEnd() {
    long now = System.nanoTime();
    resumeWaiting(now);
    if (dispatcher.quarantine().takeUrgentChange()) {
      peers.sendNow(now);
      updateQuarantine(now);
    } else if (dispatcher.fleet().hasNewPrompts()
        || dispatcher.resumedStreams().tracker().hasUnreported(now)) {
      peers.sendDue(now);
    }
  }

  private void updateQuarantine(long now) {
    quarantineActions.carryOutDue(now).forEach(content -> withdrawCopies(content, now));
  }

  /**
   * Cancels running requests with a quarantined content, or a quarantined part in their prompts:
   * they would crash their engines too.
   */
  private void withdrawCopies(RequestFingerprint content, long now) {
    steps.forEach(active, exchange -> withdrawCopy(exchange, content, now));
  }

  private void withdrawCopy(Exchange exchange, RequestFingerprint content, long now) {
    EngineAttempt attempt = exchange.attempt().orElse(null);
    RequestContent own = exchange.progress().content();
    boolean copy = own.has(content) && dispatcher.quarantine().isHeldBack(own);
    if (copy && attempt != null && attempt.cancel("its content is in quarantine")) {
      onFailed(new DispatchEvent.AttemptFailed(exchange, attempt, attempt.outcomeOfCancel()), now);
    }
  }

  @Override
  public void onTick() {
    long now = System.nanoTime();
    dispatcher.resumedStreams().tracker().onTick(now);
    applyNotices(now);
    steps.forEach(active, exchange -> checkTime(exchange, now));
    startDelayed(now);
    resumeWaiting(now);
  }

  @Override
  public List<TickPart> tickParts() {
    List<TickPart> parts = new ArrayList<>();
    parts.add(new TickPart("signs-of-life", this::reportSignsOfLife));
    parts.add(new TickPart("messages", peers::onTick));
    parts.add(new TickPart("usage-counts", runs::onTick));
    parts.addAll(upkeep.parts(this::updateQuarantine));
    return parts;
  }

  @Override
  public void onEnd() {
    terminator.terminate(active);
  }

  @Override
  public void onUnhandledEvent(DispatchEvent event) {
    terminator.onUnhandledEvent(event);
  }

  private void reportSignsOfLife(long now) {
    for (Exchange exchange : active) {
      if (exchange.attempt().filter(EngineAttempt::takeSignOfLife).isPresent()) {
        dispatcher.onSignOfLife(exchange.progress(), now);
      }
    }
  }

  private void checkTime(Exchange exchange, long now) {
    if (!endIfOver(exchange, now)) {
      checkTimeout(exchange, now);
    }
  }

  private void onTimeOver(Exchange exchange, RequestEnd why, long now) {
    active.remove(exchange);
    ErrorAnswer answer = why.answer(exchange.progress());
    log.timeOver(exchange, why, answer);
    abandon(exchange, "its time is over", now);
    exchange.refuse(answer, "");
  }

  private void checkTimeout(Exchange exchange, long now) {
    EngineAttempt attempt = exchange.attempt().orElse(null);
    if (attempt == null || !attempt.waiting()) {
      return;
    }
    AttemptTimeout timeout = attempt.timeout();
    Optional<StuckReason> stuck = dispatcher.stuck(exchange.progress(), timeout.duration(), now);
    if (stuck.isPresent() && engines.giveUp(attempt, stuck.get())) {
      log.stuck(exchange, attempt, stuck.get());
    }
  }
}
