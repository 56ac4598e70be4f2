package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.fallturn.core.dispatch.AttemptOutcome;
import org.fallturn.core.dispatch.AttemptTimeout;
import org.fallturn.core.dispatch.CacheSource;
import org.fallturn.core.dispatch.Decision;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.dispatch.LeavingNotice;
import org.fallturn.core.dispatch.NoticeSource;
import org.fallturn.core.dispatch.RequestProgress;
import org.fallturn.core.dispatch.StuckReason;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.stages.StageChange;
import org.fallturn.node.duty.DutyHandler;

/**
 * The dispatch duty: asks the dispatcher what is next for each request and carries it out. Its
 * thread alone touches the dispatcher and the progress of requests; sends and answers are begun
 * here and go on elsewhere.
 */
final class DispatchDuty implements DutyHandler<DispatchEvent> {

  /** A prompt that shares less is read sooner than it is waited for. */
  private static final int MIN_SHARED_TOKENS_TO_WAIT = 2_000;

  /** How often engines are checked for silence, whose bounds are some hundred ms. */
  private static final long HEALTH_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** How often it is asked whether an engine should change its stage. */
  private static final long STAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** How often a node that orders stages logs what it goes by: a line a second and service. */
  private static final long OUTLOOK_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Dispatcher dispatcher;
  private final EngineClient engines;
  private final DecisionLog log;
  private final PeerMessenger peers;
  private final Set<Exchange> active = new HashSet<>();
  private final PendingRequestTerminator held;
  private final CacheSurvey survey;
  private final Consumer<StageChange> stageChanges;
  private final QuarantineActions keeper;
  private final RunCounter runs;
  private final Scaling scaling;
  private final List<Exchange> waitingForSurvey = new ArrayList<>();
  private final Map<RequestProgress, Exchange> waitingForRoom = new HashMap<>();
  private final BooleanSupplier stopping;
  private long lastHealthNanos;
  private long lastStageNanos;
  private long lastOutlookNanos;

  DispatchDuty(
      Dispatcher dispatcher,
      EngineClient engines,
      DecisionLog log,
      PeerMessenger peers,
      CacheSurvey survey,
      Consumer<StageChange> stageChanges,
      QuarantineActions keeper,
      RunCounter runs,
      Scaling scaling,
      BooleanSupplier stopping) {
    this.dispatcher = dispatcher;
    this.engines = engines;
    this.log = log;
    this.held = new PendingRequestTerminator(engines, log);
    this.peers = peers;
    this.survey = survey;
    this.stageChanges = stageChanges;
    this.keeper = keeper;
    this.runs = runs;
    this.scaling = scaling;
    this.stopping = stopping;
  }

  @Override
  public void onEvent(DispatchEvent event) {
    long now = System.nanoTime();
    takeNotices(now);
    if (event instanceof DispatchEvent.Arrived arrived) {
      onArrived(arrived.exchange(), now);
    } else if (event instanceof DispatchEvent.Prefilled prefilled) {
      onPrefilled(prefilled, now);
    } else if (event instanceof DispatchEvent.Began began) {
      if (isPresent(began.exchange(), began.attempt())) {
        log.began(began.exchange(), now);
        runs.onBegan(began.exchange());
        dispatcher.onBegan(began.exchange().progress(), now);
        dispatcher.onSignOfLife(began.exchange().progress(), now);
      }
    } else if (event instanceof DispatchEvent.AttemptFailed failed) {
      onFailed(failed, now);
    } else if (event instanceof DispatchEvent.Finished finished) {
      onFinished(finished.exchange(), now);
    } else if (event instanceof DispatchEvent.CallerGone gone) {
      onCallerGone(gone.exchange(), now);
    } else if (event instanceof DispatchEvent.DirectoryChanged changed) {
      dispatcher.setDirectory(changed.directory(), now);
      scaling.setDirectory(dispatcher.directory());
      survey.onDirectory(changed.directory(), now);
      peers.sendDue(now);
    } else if (event instanceof DispatchEvent.CacheListed answer) {
      log.cacheListed(answer);
      answer
          .parts()
          .ifPresent(
              parts -> dispatcher.fleet().onEngineCacheListing(parts, answer.askedAtNanos()));
      survey.onAnswer(answer, now);
      peers.onCacheListed(answer, now);
      endWaiting(now);
    } else if (event instanceof DispatchEvent.RoutingChanged changed) {
      dispatcher.setRouting(changed.image());
      scaling.setServices(changed.image().services());
      engines.setServices(changed.image());
      peers.sendDue(now);
    } else if (event instanceof DispatchEvent.StageChangeBegun begun) {
      dispatcher.onStageChangeBegun(begun.change(), now);
      peers.sendNow(now);
    } else if (event instanceof DispatchEvent.StageChangeAbandoned abandoned) {
      dispatcher.stages().abandon(abandoned.change());
    } else if (event instanceof DispatchEvent.CannotLead) {
      dispatcher.stages().onLeaseDenied(now);
      peers.sendNow(now);
    } else if (event instanceof DispatchEvent.StageOrderUnanswered unanswered) {
      dispatcher.stages().onUnanswered(unanswered.change(), now);
    } else if (event instanceof DispatchEvent.EngineGone gone) {
      keeper.onEngineGone(gone.engineId(), now);
    } else if (event instanceof DispatchEvent.QuarantineLoaded recalled) {
      dispatcher.quarantine().onLoadedFromStore(recalled.held(), now);
    } else if (event instanceof DispatchEvent.QuarantineStored stored) {
      dispatcher.quarantine().onStored(stored.content(), now);
    } else if (event instanceof DispatchEvent.ParametersChanged changed) {
      dispatcher.setParameters(changed.parameters());
    } else if (event instanceof DispatchEvent.UsageReported reported) {
      runs.onReported(reported.window());
    } else if (event instanceof DispatchEvent.InitialCountsKnown known) {
      scaling.onInitialCounts(known.service(), known.byZone());
    } else if (event instanceof DispatchEvent.ScaleOrderAnswered answered) {
      scaling.onAnswer(answered.order(), answered.outcome(), now);
    } else if (event instanceof DispatchEvent.PeerMessageReceived heard) {
      heard.message().usage().ifPresent(runs::onPeerReport);
      peers.onMessage(heard.message(), now);
      endWaiting(now);
    }
  }

  private void takeNotices(long now) {
    takeLeaving(now);
    dispatcher.takeLimitChanges().forEach(log::engineLimit);
  }

  /**
   * Before anything is decided: an engine that has said that it leaves in an answer was used for
   * another 12 s while the store was away.
   */
  private void takeLeaving(long now) {
    List<LeavingNotice> found = dispatcher.takeLeaving(now);
    if (!found.isEmpty()) {
      found.forEach(log::engineLeaves);
      scaling.setDirectory(dispatcher.directory());
    }
    if (found.stream().anyMatch(notice -> notice.source() == NoticeSource.ANSWER)) {
      peers.sendNow(now);
    }
  }

  private void onArrived(Exchange exchange, long now) {
    active.add(exchange);
    exchange.watchCaller();
    if (survey.wantsPatience(now) && hasLongSharedParts(exchange)) {
      waitingForSurvey.add(exchange);
    } else {
      start(exchange, now);
    }
  }

  private void start(Exchange exchange, long now) {
    carryOut(exchange, dispatcher.start(exchange.progress(), now), now);
  }

  private static boolean hasLongSharedParts(Exchange exchange) {
    return exchange
        .envelope()
        .prompt()
        .filter(prompt -> prompt.sharedTokens() >= MIN_SHARED_TOKENS_TO_WAIT)
        .isPresent();
  }

  /** Places what has waited to know where its shared parts are kept. */
  private void endWaiting(long now) {
    if (waitingForSurvey.isEmpty() || survey.wantsPatience(now)) {
      return;
    }
    List<Exchange> due = List.copyOf(waitingForSurvey);
    waitingForSurvey.clear();
    due.stream().filter(active::contains).forEach(exchange -> start(exchange, now));
  }

  private void onPrefilled(DispatchEvent.Prefilled event, long now) {
    Exchange exchange = event.exchange();
    if (!isPresent(exchange, event.attempt())) {
      engines.freeHandle(event.attempt().call().engine(), event.handle());
      return;
    }
    log.prefilled(exchange);
    carryOut(exchange, dispatcher.onPrefilled(exchange.progress(), event.handle(), now), now);
  }

  private void onFailed(DispatchEvent.AttemptFailed event, long now) {
    Exchange exchange = event.exchange();
    if (!isPresent(exchange, event.attempt())) {
      return;
    }
    log.attemptFailed(exchange, event.attempt(), event.outcome());
    runs.onFailed(exchange, event.outcome(), now);
    Optional<CacheSource> source = exchange.progress().source();
    Decision next = dispatcher.onFailure(exchange.progress(), event.outcome(), now);
    if (event.outcome().mayHaveReached() && exchange.progress().source().isEmpty()) {
      source.ifPresent(from -> engines.freeHandle(from.engine(), from.handle()));
    }
    carryOut(exchange, next, now);
  }

  private boolean isPresent(Exchange exchange, EngineAttempt attempt) {
    return active.contains(exchange) && exchange.attempt().filter(a -> a == attempt).isPresent();
  }

  private void onFinished(Exchange exchange, long now) {
    if (active.remove(exchange)) {
      log.finished(exchange, now);
      runs.onEnded(exchange, now);
      dispatcher.onFinished(exchange.progress(), now);
    }
  }

  private void onCallerGone(Exchange exchange, long now) {
    if (!active.remove(exchange)) {
      return;
    }
    log.callerGone(exchange);
    abandon(exchange, "the caller left", now);
    exchange.breakOff();
  }

  private void abandon(Exchange exchange, String why, long now) {
    waitingForRoom.remove(exchange.progress());
    runs.onEnded(exchange, now);
    exchange.attempt().ifPresent(attempt -> attempt.cancel(why));
    boolean running = !exchange.progress().prefilling() && exchange.progress().engine().isPresent();
    if (!running) {
      freeSource(exchange);
    }
    dispatcher.onAbandoned(exchange.progress(), now);
  }

  /** Nobody will fetch the KV cache that waits for the request, if any does. */
  private void freeSource(Exchange exchange) {
    exchange
        .progress()
        .source()
        .ifPresent(from -> engines.freeHandle(from.engine(), from.handle()));
  }

  private void carryOut(Exchange exchange, Decision decision, long now) {
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
      waitingForRoom.put(exchange.progress(), exchange);
    } else if (decision instanceof Decision.Refuse refuse) {
      active.remove(exchange);
      freeSource(exchange);
      boolean says = refuse.kind() == ErrorKind.QUARANTINED;
      exchange.refuse(refuse.kind(), refuse.retryAfter(), says ? refuse.reason() : "");
    } else if (decision instanceof Decision.PassFailure) {
      active.remove(exchange);
      exchange.passFailure(exchange.attempt().orElseThrow(), engines.protocol());
    }
  }

  /** Goes on with what need not wait for an engine any longer, or may not. */
  private void endWaits(long now) {
    if (stopping.getAsBoolean()) {
      endWaits(dispatcher.closeWaits(), now);
    }
    endWaits(dispatcher.takeEndedWaits(now), now);
    log.waiting(dispatcher.waitingCount(), dispatcher.waitingBytes());
  }

  private void endWaits(List<Dispatcher.EndedWait> ended, long now) {
    for (Dispatcher.EndedWait end : ended) {
      Exchange exchange = waitingForRoom.remove(end.progress());
      if (exchange != null) {
        log.waited(exchange, now);
        carryOut(exchange, end.decision(), now);
      }
    }
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
        left(exchange, now),
        urgency,
        exchange.lastEventId());
  }

  private static Duration left(Exchange exchange, long now) {
    return Duration.ofNanos(Math.max(0, exchange.envelope().remainingNanos(now)));
  }

  private void send(Exchange exchange, EngineCall call, AttemptTimeout timeout) {
    EngineAttempt attempt = new EngineAttempt(exchange, call, engines.protocol(), timeout);
    exchange.setAttempt(attempt);
    engines.send(exchange, attempt);
  }

  /**
   * Prompts are told at once, so that no other node reads the same parts elsewhere; crashes too, so
   * that no other node sends on what has crashed engines.
   */
  @Override
  public void onBatchEnd() {
    long now = System.nanoTime();
    endWaits(now);
    if (dispatcher.quarantine().takeUrgentChange()) {
      peers.sendNow(now);
      keepQuarantine(now);
    } else if (dispatcher.fleet().hasNewPrompts()) {
      peers.sendDue(now);
    }
  }

  private void keepQuarantine(long now) {
    keeper.carryOutDue(now).forEach(content -> takeBackCopies(content, now));
  }

  /** Copies that still run elsewhere would crash their engines too. */
  private void takeBackCopies(RequestFingerprint content, long now) {
    for (Exchange exchange : Set.copyOf(active)) {
      EngineAttempt attempt = exchange.attempt().orElse(null);
      boolean copy = exchange.progress().content().is(content);
      if (copy && attempt != null && attempt.cancel("its content is in quarantine")) {
        AttemptOutcome outcome =
            attempt.maybeSent() ? AttemptOutcome.WITHDRAWN : AttemptOutcome.NOT_SENT;
        onFailed(new DispatchEvent.AttemptFailed(exchange, attempt, outcome), now);
      }
    }
  }

  @Override
  public void onTick() {
    long now = System.nanoTime();
    takeNotices(now);
    for (Exchange exchange : Set.copyOf(active)) {
      if (exchange.envelope().remainingNanos(now) <= 0) {
        onTimeOver(exchange, now);
      } else {
        checkPatience(exchange, now);
      }
    }
    endWaiting(now);
    endWaits(now);
    takeSignsOfLife(now);
    peers.onTick(now);
    runs.onTick(now);
    if (now - lastHealthNanos >= HEALTH_NANOS) {
      lastHealthNanos = now;
      dispatcher.onTick(now);
      dispatcher.takeHealthChanges(now).forEach(log::engineHealth);
      dispatcher.takePaceChanges(now).forEach(log::enginePace);
      keepQuarantine(now);
    }
    if (now - lastStageNanos >= STAGE_NANOS) {
      lastStageNanos = now;
      log.logDroppedLines();
      dispatcher.wantedStageChange(now).ifPresent(stageChanges);
      scaling.onTick(dispatcher.stages().leads(now), now);
    }
    if (now - lastOutlookNanos >= OUTLOOK_NANOS) {
      lastOutlookNanos = now;
      dispatcher.stages().outlooks(now).forEach(log::stageOutlook);
    }
  }

  @Override
  public void onEnd() {
    held.giveUp(active);
  }

  @Override
  public void onUnhandledEvent(DispatchEvent event) {
    held.onLate(event);
  }

  private void takeSignsOfLife(long now) {
    for (Exchange exchange : active) {
      if (exchange.attempt().filter(EngineAttempt::takeSignOfLife).isPresent()) {
        dispatcher.onSignOfLife(exchange.progress(), now);
      }
    }
  }

  private void onTimeOver(Exchange exchange, long now) {
    active.remove(exchange);
    log.timeOver(exchange);
    boolean mayHaveRun = exchange.progress().possibleRuns() > 0;
    abandon(exchange, "its time is over", now);
    exchange.refuse(
        mayHaveRun ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_UNREACHABLE,
        mayHaveRun ? Optional.empty() : Optional.of(Duration.ofSeconds(1)));
  }

  private void checkPatience(Exchange exchange, long now) {
    EngineAttempt attempt = exchange.attempt().orElse(null);
    if (attempt == null || !attempt.waiting()) {
      return;
    }
    AttemptTimeout timeout = attempt.timeout();
    Optional<StuckReason> stuck = dispatcher.stuck(exchange.progress(), timeout.duration(), now);
    if (stuck.isPresent() && attempt.cancel("no answer in time")) {
      AttemptOutcome outcome =
          attempt.maybeSent() ? stuck.get().outcome(timeout) : AttemptOutcome.NOT_SENT;
      log.stuck(exchange, attempt, stuck.get());
      onFailed(new DispatchEvent.AttemptFailed(exchange, attempt, outcome), now);
    }
  }
}
