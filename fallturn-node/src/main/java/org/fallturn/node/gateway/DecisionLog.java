package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.dispatch.AttemptOutcome;
import org.fallturn.core.dispatch.Decision;
import org.fallturn.core.dispatch.EndedSend;
import org.fallturn.core.dispatch.ErrorAnswer;
import org.fallturn.core.dispatch.HealthChange;
import org.fallturn.core.dispatch.LeavingNotice;
import org.fallturn.core.dispatch.LimitChange;
import org.fallturn.core.dispatch.NotRunProof;
import org.fallturn.core.dispatch.PlacementEstimate;
import org.fallturn.core.dispatch.RequestProgress;
import org.fallturn.core.dispatch.RetryBudgetUse;
import org.fallturn.core.dispatch.StuckReason;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.following.FollowStep;
import org.fallturn.core.limits.BudgetState;
import org.fallturn.core.pace.PaceChange;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.quarantine.QuarantineStatusChange;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.scaling.ScaleOrder;
import org.fallturn.core.stages.StageChange;
import org.fallturn.core.stages.StageOutlook;
import org.fallturn.core.usage.DutyOutcome;
import org.fallturn.node.duty.FaultDecision;
import org.fallturn.node.metrics.LogSetup;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Structured log of a gateway's decisions, one line each: what was decided, from which inputs of
 * which version, and with which outcome. The metrics count each line. Most methods are named after
 * the {@link LogEvent} that they write. Thread-safe; never blocks, since the log appender drops
 * lines that its queue cannot take.
 */
final class DecisionLog {

  private static final Logger LOG = LoggerFactory.getLogger("org.fallturn.gateway");

  private static final int PERCENT = 100;

  private final GatewayMetrics metrics;
  private volatile long routingVersion;
  private volatile long directoryRevision;
  private volatile long waitingCount;
  private volatile long waitingBytes;

  DecisionLog(GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  private LoggingEventBuilder line(LogEvent event) {
    return line(event, "");
  }

  /**
   * Starts a line and counts its event.
   *
   * @param detail label of the metric; must come from a closed list, or be empty
   */
  LoggingEventBuilder line(LogEvent event, String detail) {
    metrics.count(event, detail);
    return LOG.atInfo().setMessage("gateway").addKeyValue("event", event);
  }

  private LoggingEventBuilder line(LogEvent event, Exchange exchange) {
    return line(event, exchange, "");
  }

  private LoggingEventBuilder line(LogEvent event, Exchange exchange, String detail) {
    RequestProgress progress = exchange.progress();
    return line(event, detail)
        .addKeyValue("request", exchange.head().requestId())
        .addKeyValue("route", exchange.envelope().route().name())
        .addKeyValue("service", progress.service())
        .addKeyValue("ageMs", ageMillis(exchange, System.nanoTime()));
  }

  private static long ageMillis(Exchange exchange, long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - exchange.envelope().arrivedNanos());
  }

  void started(String node) {
    line(LogEvent.STARTED).addKeyValue("node", node).log();
  }

  void metricsRefused(NetworkAddress address, Exception failure) {
    line(LogEvent.METRICS_REFUSED)
        .addKeyValue("address", address)
        .addKeyValue("failure", failure.toString())
        .log();
  }

  void stopping(int inFlight) {
    line(LogEvent.STOPPING).addKeyValue("inFlight", inFlight).log();
  }

  void stopped(int inFlight) {
    line(LogEvent.STOPPED).addKeyValue("inFlight", inFlight).log();
  }

  /** Logs an error with its own message and the stack trace, for those who read errors only. */
  void dutyFailed(String duty, Throwable fault, FaultDecision decision) {
    metrics.count(LogEvent.DUTY_FAILED, duty);
    LOG.atError()
        .setMessage(
            decision.goesOn()
                ? "duties: A duty failed and goes on."
                : "duties: A duty failed and ends the node.")
        .addKeyValue("event", LogEvent.DUTY_FAILED)
        .addKeyValue("duty", duty)
        .addKeyValue("goesOn", decision.goesOn())
        .addKeyValue("pauseMs", TimeUnit.NANOSECONDS.toMillis(decision.pauseNanos()))
        .setCause(fault)
        .log();
  }

  void givenUp(Exchange exchange, ErrorAnswer answer) {
    withAnswer(line(LogEvent.GIVEN_UP, exchange, answer.kind().name()), exchange, answer).log();
  }

  void settingsReloaded() {
    line(LogEvent.SETTINGS_RELOADED).log();
  }

  void settingsRefused(String mistakes) {
    line(LogEvent.SETTINGS_REFUSED).addKeyValue("mistakes", mistakes).log();
  }

  void dependencyLost(String name, Exception failure) {
    line(LogEvent.DEPENDENCY_LOST)
        .addKeyValue("dependency", name)
        .addKeyValue("failure", failure.toString())
        .log();
  }

  void dependencyRegained(String name) {
    line(LogEvent.DEPENDENCY_REGAINED).addKeyValue("dependency", name).log();
  }

  void sourceChanged(String table, FollowStep.Source source, StorePosition position) {
    line(LogEvent.SOURCE_CHANGED)
        .addKeyValue("table", table)
        .addKeyValue("source", source)
        .addKeyValue("position", position)
        .log();
  }

  void learnedFromPeer(String table, StorePosition position) {
    line(LogEvent.LEARNED_FROM_PEER)
        .addKeyValue("table", table)
        .addKeyValue("position", position)
        .log();
  }

  /** Logs how many lines were dropped since the last call, if any; called periodically. */
  void logDroppedLines() {
    long count = LogSetup.takeDroppedLines();
    if (count > 0) {
      line(LogEvent.LINES_DROPPED).addKeyValue("count", count).log();
    }
  }

  void cacheListed(DispatchEvent.CacheListed answer) {
    line(LogEvent.CACHE_LISTED)
        .addKeyValue("engine", answer.engineId())
        .addKeyValue("answered", answer.parts().isPresent())
        .addKeyValue("parts", answer.parts().map(known -> known.parts().size()).orElse(0))
        .log();
  }

  void noPeerKnows(String table, Exception failure) {
    line(LogEvent.NO_PEER_KNOWS)
        .addKeyValue("table", table)
        .addKeyValue("failure", failure.getMessage())
        .log();
  }

  void historyLost(String table, StorePosition position) {
    line(LogEvent.HISTORY_LOST).addKeyValue("table", table).addKeyValue("position", position).log();
  }

  void storeBehind(String table, StorePosition known, StorePosition answered) {
    line(LogEvent.STORE_BEHIND)
        .addKeyValue("table", table)
        .addKeyValue("position", known)
        .addKeyValue("answered", answered)
        .log();
  }

  void storeCaughtUp(String table, StorePosition position) {
    line(LogEvent.STORE_CAUGHT_UP)
        .addKeyValue("table", table)
        .addKeyValue("position", position)
        .log();
  }

  void storeRestored(String table, StorePosition before, StorePosition position) {
    line(LogEvent.STORE_RESTORED)
        .addKeyValue("table", table)
        .addKeyValue("before", before)
        .addKeyValue("position", position)
        .log();
  }

  void routingChanged(RoutingImage image) {
    routingVersion = image.version();
    line(LogEvent.ROUTING_CHANGED)
        .addKeyValue("version", image.version())
        .addKeyValue("position", image.position())
        .addKeyValue("routes", image.routeCount())
        .addKeyValue("keys", image.keys().size())
        .log();
  }

  void enginesChanged(EngineDirectory directory) {
    directoryRevision = directory.revision();
    long leaving = directory.all().stream().filter(ServingEngine::leaving).count();
    line(LogEvent.ENGINES_CHANGED)
        .addKeyValue("revision", directory.revision())
        .addKeyValue("engines", directory.all().size())
        .addKeyValue("leaving", leaving)
        .addKeyValue("versions", LogTexts.versions(directory))
        .log();
  }

  void engineHealth(HealthChange change) {
    line(healthEvent(change))
        .addKeyValue("engine", change.engineId())
        .addKeyValue("silent", change.silent())
        .addKeyValue("failureShare", change.failureShare())
        .addKeyValue("running", change.running())
        .log();
  }

  private static LogEvent healthEvent(HealthChange change) {
    if (change.throughPeers()) {
      return LogEvent.ENGINE_THROUGH_PEERS;
    }
    return change.suspended() ? LogEvent.ENGINE_SUSPENDED : LogEvent.ENGINE_RESUMED;
  }

  void engineLeaves(LeavingNotice notice) {
    line(LogEvent.ENGINE_LEAVES, notice.source().name())
        .addKeyValue("engine", notice.engineId())
        .addKeyValue("source", notice.source())
        .addKeyValue("directoryRevision", directoryRevision)
        .log();
  }

  void engineRests(String engineId, Duration rest) {
    line(LogEvent.ENGINE_RESTS)
        .addKeyValue("engine", engineId)
        .addKeyValue("restMs", rest.toMillis())
        .log();
  }

  void engineLimit(LimitChange change) {
    LogEvent event =
        change.perSecond().isPresent() ? LogEvent.ENGINE_LIMITED : LogEvent.ENGINE_LIMIT_ENDED;
    LoggingEventBuilder line =
        line(event, change.source().name())
            .addKeyValue("engine", change.engineId())
            .addKeyValue("source", change.source());
    change.perSecond().ifPresent(limit -> line.addKeyValue("perSecond", limit));
    line.log();
  }

  void enginePace(PaceChange change) {
    line(LogEvent.ENGINE_PACE, change.state().name())
        .addKeyValue("engine", change.engineId())
        .addKeyValue("state", change.state())
        .addKeyValue("work", change.kind())
        .addKeyValue("percent", Math.round(PERCENT * change.slowness()))
        .log();
  }

  void headerUnknown(String engineId, String name) {
    line(LogEvent.HEADER_UNKNOWN)
        .addKeyValue("engine", engineId)
        .addKeyValue("header", LogTexts.shortened(name))
        .log();
  }

  void noticeRefused(String engineId, String text) {
    line(LogEvent.NOTICE_REFUSED)
        .addKeyValue("engine", engineId)
        .addKeyValue("text", LogTexts.shortened(text))
        .log();
  }

  void engineGone(String engineId) {
    line(LogEvent.ENGINE_GONE).addKeyValue("engine", engineId).log();
  }

  void standingChanged(QuarantineStatusChange change) {
    line(LogEvent.STANDING_CHANGED, change.status().name())
        .addKeyValue("content", change.content())
        .addKeyValue("standing", change.status())
        .addKeyValue("engines", change.engines())
        .log();
  }

  void quarantineStored(RequestFingerprint content, boolean held, String outcome) {
    line(LogEvent.QUARANTINE_STORED)
        .addKeyValue("content", content)
        .addKeyValue("held", held)
        .addKeyValue("outcome", outcome)
        .log();
  }

  void stageOrdered(StageChange change, StageOrder order, int status) {
    line(LogEvent.STAGE_ORDERED)
        .addKeyValue("engine", change.engine().id())
        .addKeyValue("stage", change.stage())
        .addKeyValue("fencingToken", order.fencingToken())
        .addKeyValue("expectedSequence", order.expectedSequence())
        .addKeyValue("status", status)
        .log();
  }

  void stageChangeAbandoned(StageChange change, String reason) {
    line(LogEvent.STAGE_CHANGE_ABANDONED)
        .addKeyValue("engine", change.engine().id())
        .addKeyValue("stage", change.stage())
        .addKeyValue("reason", reason)
        .log();
  }

  void stageOutlook(String service, StageOutlook outlook) {
    line(LogEvent.STAGE_OUTLOOK)
        .addKeyValue("service", service)
        .addKeyValue("prefill", outlook.prefill())
        .addKeyValue("prefillServing", outlook.prefillServing())
        .addKeyValue("decode", outlook.decode())
        .addKeyValue("decodeServing", outlook.decodeServing())
        .addKeyValue("changing", outlook.changing())
        .addKeyValue("prefillWaitMs", Math.round(outlook.prefillWaitMillis()))
        .addKeyValue("decodeWaitMs", Math.round(outlook.decodeWaitMillis()))
        .addKeyValue("occupancy", percent(outlook.occupancy()))
        .addKeyValue("peakOccupancy", percent(outlook.peakOccupancy()))
        .addKeyValue("wanted", outlook.wanted())
        .log();
  }

  void initialCountsLost(String service) {
    line(LogEvent.INITIAL_COUNTS_LOST).addKeyValue("service", service).log();
  }

  void scaleOrdered(ScaleOrder order, long fencingToken, DutyOutcome outcome) {
    line(LogEvent.SCALE_ORDERED, outcome.name())
        .addKeyValue("service", order.service())
        .addKeyValue("zone", order.zone())
        .addKeyValue("count", order.count())
        .addKeyValue("loan", order.loan())
        .addKeyValue("fencingToken", fencingToken)
        .addKeyValue("outcome", outcome)
        .log();
  }

  private static long percent(double share) {
    return Math.round(PERCENT * share);
  }

  void rowRefused(String table, String key, String reason) {
    line(LogEvent.ROW_REFUSED)
        .addKeyValue("table", table)
        .addKeyValue("key", key)
        .addKeyValue("reason", reason)
        .log();
  }

  void refusedAtDoor(String requestId, ErrorKind kind, String reason) {
    line(LogEvent.REFUSED_AT_DOOR, kind.name())
        .addKeyValue("request", requestId)
        .addKeyValue("kind", kind)
        .addKeyValue("reason", reason)
        .addKeyValue("routingVersion", routingVersion)
        .log();
  }

  void decided(Exchange exchange, Decision decision) {
    if (decision instanceof Decision.Prefill prefill) {
      placed(exchange, prefill.engine(), prefill.estimate(), prefill.urgency())
          .addKeyValue("stage", "prefill")
          .addKeyValue("fetchFrom", prefill.fetchFrom().map(ServingEngine::id).orElse(""))
          .log();
    } else if (decision instanceof Decision.Run run) {
      placed(exchange, run.engine(), run.estimate(), run.urgency())
          .addKeyValue("stage", "run")
          .addKeyValue("fetchFrom", run.fetchFrom().map(ServingEngine::id).orElse(""))
          .addKeyValue("source", run.source().map(from -> from.engine().id()).orElse(""))
          .log();
    } else if (decision instanceof Decision.Wait wait) {
      line(LogEvent.WAITING, exchange, exchange.progress().service())
          .addKeyValue("forecastMs", Math.round(wait.forecastMillis()))
          .addKeyValue("ahead", wait.ahead())
          .addKeyValue("directoryRevision", directoryRevision)
          .log();
    } else if (decision instanceof Decision.Refuse refuse) {
      refused(exchange, refuse).log();
    } else {
      line(LogEvent.FAILURE_PASSED, exchange).log();
    }
  }

  /**
   * Takes the load that waits at this node for room at an engine, for the metrics.
   *
   * @param count number of requests
   * @param bytes their size in bytes
   */
  void waiting(int count, long bytes) {
    waitingCount = count;
    waitingBytes = bytes;
  }

  long waitingCount() {
    return waitingCount;
  }

  long waitingBytes() {
    return waitingBytes;
  }

  void waited(Exchange exchange, long nowNanos) {
    metrics.waited(nowNanos - exchange.waitingSinceNanos());
    line(LogEvent.WAITED, exchange)
        .addKeyValue(
            "waitedMs", TimeUnit.NANOSECONDS.toMillis(nowNanos - exchange.waitingSinceNanos()))
        .log();
  }

  private LoggingEventBuilder refused(Exchange exchange, Decision.Refuse refuse) {
    metrics.refused(refuse.cause());
    LoggingEventBuilder line =
        withAnswer(
                line(LogEvent.REFUSED, exchange, refuse.kind().name()), exchange, refuse.answer())
            .addKeyValue("cause", refuse.cause())
            .addKeyValue("reason", refuse.reason())
            .addKeyValue("retryAfterMs", refuse.retryAfter().map(Duration::toMillis).orElse(0L))
            .addKeyValue("directoryRevision", directoryRevision);
    return refuse.kind() == ErrorKind.QUARANTINED
        ? line.addKeyValue("content", exchange.progress().content().fingerprint())
            .addKeyValue("parts", LogTexts.sharedParts(exchange))
        : line;
  }

  /** Adds an error of this node, and the sends before it, on which it may be based. */
  private LoggingEventBuilder withAnswer(
      LoggingEventBuilder line, Exchange exchange, ErrorAnswer answer) {
    List<EndedSend> sends =
        answer.proof().map(NotRunProof::sends).orElseGet(exchange.progress()::endedSends);
    metrics.answered(answer.kind(), sends);
    return line.addKeyValue("kind", answer.kind()).addKeyValue("sends", LogTexts.sends(sends));
  }

  private LoggingEventBuilder placed(
      Exchange exchange, ServingEngine engine, PlacementEstimate estimate, int urgency) {
    return line(LogEvent.PLACED, exchange)
        .addKeyValue("engine", engine.id())
        .addKeyValue("version", engine.softwareVersion())
        .addKeyValue("resumes", LogTexts.resumes(exchange))
        .addKeyValue("origin", LogTexts.origin(exchange))
        .addKeyValue("originAgeMs", LogTexts.originAgeMillis(exchange))
        .addKeyValue("address", engine.address())
        .addKeyValue("arrivals", exchange.progress().runSends())
        .addKeyValue("expectedMs", Math.round(estimate.millis()))
        .addKeyValue("readTokens", estimate.readTokens())
        .addKeyValue("aheadTokens", estimate.aheadTokens())
        .addKeyValue("pacePercent", estimate.pacePercent())
        .addKeyValue("urgency", urgency)
        .addKeyValue("through", exchange.progress().forwarder().map(Object::toString).orElse(""))
        .addKeyValue("sharedPart", LogTexts.sharedPart(exchange))
        .addKeyValue("routingVersion", routingVersion)
        .addKeyValue("directoryRevision", directoryRevision);
  }

  void attemptFailed(Exchange exchange, EngineAttempt attempt, AttemptOutcome outcome) {
    EngineAnswerHead head = attempt.head();
    LoggingEventBuilder line =
        LogTexts.withAttempt(line(LogEvent.ATTEMPT_FAILED, exchange, outcome.name()), attempt)
            .addKeyValue("outcome", outcome)
            .addKeyValue("status", head == null ? 0 : head.status());
    if (outcome.mayBeCrash()) {
      line =
          line.addKeyValue("content", exchange.progress().content().fingerprint())
              .addKeyValue("parts", LogTexts.sharedParts(exchange));
    }
    line.log();
  }

  void retryBudget(Exchange exchange, RetryBudgetUse use) {
    BudgetState budget = use.budget();
    line(LogEvent.RETRY_BUDGET, exchange, use.granted() ? "granted" : "denied")
        .addKeyValue("granted", use.granted())
        .addKeyValue("late", use.late())
        .addKeyValue("used", budget.used())
        .addKeyValue("reserve", Math.round(budget.reserve()))
        .addKeyValue("pool", Math.round(budget.pool()))
        .addKeyValue("usedByOthers", Math.round(budget.usedByOthers()))
        .addKeyValue("limit", Math.round(budget.limit()))
        .addKeyValue("nodesHeard", budget.nodesHeard())
        .addKeyValue("nodes", budget.nodes())
        .addKeyValue("sharing", budget.sharing())
        .log();
  }

  /** Logs that an attempt is about to be abandoned; the line of its failure follows. */
  void stuck(Exchange exchange, EngineAttempt attempt, StuckReason reason) {
    line(LogEvent.STUCK, exchange, reason.name())
        .addKeyValue("engine", attempt.call().engine().id())
        .addKeyValue("reason", reason)
        .addKeyValue("patienceMs", attempt.timeout().duration().toMillis())
        .addKeyValue("prefill", attempt.call().prefillOnly())
        .log();
  }

  void prefilled(Exchange exchange) {
    line(LogEvent.PREFILLED, exchange).log();
  }

  void began(Exchange exchange, long nowNanos) {
    metrics.firstPart(nowNanos - exchange.envelope().arrivedNanos());
    Optional<ServingEngine> engine = exchange.progress().engine();
    line(LogEvent.BEGAN, exchange)
        .addKeyValue("engine", engine.map(ServingEngine::id).orElse(""))
        .addKeyValue("version", engine.map(ServingEngine::softwareVersion).orElse(""))
        .log();
  }

  void finished(Exchange exchange, long nowNanos) {
    metrics.whole(nowNanos - exchange.envelope().arrivedNanos());
    LogTexts.withLastAttempt(line(LogEvent.FINISHED, exchange), exchange)
        .addKeyValue("arrivals", exchange.progress().runSends())
        .log();
  }

  void callerGone(Exchange exchange) {
    LogTexts.withLastAttempt(line(LogEvent.CALLER_GONE, exchange), exchange).log();
  }

  /** Logs that a request was not sent, though an engine was chosen for it. */
  void sendWithheld(Exchange exchange, RequestEnd end) {
    line(LogEvent.SEND_WITHHELD, exchange, end.name()).addKeyValue("end", end).log();
  }

  void connectionCut(ConnectionCut cut) {
    line(LogEvent.CONNECTION_CUT, cut.cause().name())
        .addKeyValue("caller", cut.caller())
        .addKeyValue("cause", cut.cause())
        .addKeyValue("phase", cut.phase())
        .addKeyValue("request", cut.requestId())
        .addKeyValue("failure", cut.failure())
        .log();
  }

  void timeOver(Exchange exchange, RequestEnd why, ErrorAnswer answer) {
    LoggingEventBuilder line = withAnswer(line(LogEvent.TIME_OVER, exchange), exchange, answer);
    LogTexts.withLastAttempt(line, exchange)
        .addKeyValue("end", why)
        .addKeyValue("possibleRuns", exchange.progress().possibleRuns())
        .log();
  }
}
