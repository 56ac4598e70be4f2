package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.fallturn.core.membership.RendezvousHash;
import org.fallturn.core.pace.EnginePace;
import org.fallturn.core.pace.WorkKind;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.waiting.ResponseTimes;
import org.fallturn.core.waiting.WaitingParameters;
import org.fallturn.core.waiting.WaterFilling;

/**
 * Holds the engines of each service and selects among them by cost. The cost combines the load that
 * this node and its peers count, the health shown by the outcomes of attempts, the distance, and
 * for prompts the number of tokens that are not cached. Confined to the dispatch thread.
 *
 * <p>A <i>rest</i> is a period for which an engine has asked this node to send it no requests.
 */
final class EngineSelector {

  /** Cost of an engine in another zone, in units of relative load (requests per capacity). */
  private static final double OTHER_ZONE_COST = 0.03;

  /** Cost of an engine at which every attempt fails, in units of relative load. */
  private static final double FAILURE_COST = 1.0;

  /**
   * Mean age of the latest load report of another node, excluding its transmission delay. Nodes
   * report their load to each other ten times a second, so it is half of the interval of 100 ms.
   */
  private static final double MEAN_REPORT_AGE_MILLIS = 50;

  /**
   * Minimum number of shared prompt tokens for a copy: an engine reads a shorter shared part again
   * in less time than copying its KV cache takes.
   */
  static final int MIN_COPIED_TOKENS = 1_000;

  private final String zone;
  private final Map<String, EngineLoad> loads = new HashMap<>();
  private final PrefixCacheEstimates cachedParts = new PrefixCacheEstimates();
  private final Map<String, PromptSizes> sizes = new HashMap<>();
  private final PeerLoads peerLoads;
  private final EngineNotices notices;
  private final EnginePace pace;
  private final RecentDepartures departures;
  private final ResponseTimes responseTimes = new ResponseTimes();
  private final ChangingEngines changing = new ChangingEngines();
  private EngineDirectory directory = EngineDirectory.empty();

  /**
   * Creates a selector that knows no engine.
   *
   * @param pace estimates how fast each engine works
   * @param lastResortNanos how long an engine that is leaving, or whose entry is gone, may still be
   *     used when its service has no other
   */
  EngineSelector(
      String zone,
      PeerLoads peerLoads,
      EngineNotices notices,
      EnginePace pace,
      long lastResortNanos) {
    this.zone = zone;
    this.peerLoads = peerLoads;
    this.notices = notices;
    this.pace = pace;
    this.departures = new RecentDepartures(lastResortNanos);
  }

  /**
   * Applies a new list of engines. The load of an engine that is no longer listed is kept until its
   * requests have ended. The list is in force before anything is derived from it, so that a fault
   * in one engine's entry does not hide all others.
   */
  void setDirectory(EngineDirectory newDirectory, long nowNanos) {
    EngineDirectory before = directory;
    directory = newDirectory;
    departures.onChange(before, newDirectory, nowNanos);
    newDirectory.all().forEach(engine -> resetHealthIfStageChanged(before, engine));
    changing.prune(directory, nowNanos);
    Set<String> present = new HashSet<>();
    directory.all().forEach(engine -> present.add(engine.id()));
    notices.retain(present, nowNanos);
    Set<String> known = new HashSet<>(present);
    known.addAll(departures.ids());
    cachedParts.retain(known);
    loads.entrySet().removeIf(e -> !present.contains(e.getKey()) && e.getValue().idle());
  }

  /**
   * Resets the health, since failures in the former stage do not predict failures in the new one.
   */
  private void resetHealthIfStageChanged(EngineDirectory before, ServingEngine engine) {
    boolean changed =
        before.find(engine.id()).filter(previous -> previous.stage() != engine.stage()).isPresent();
    if (changed) {
      load(engine).health().reset();
    }
  }

  /** The listed engines of a service. */
  List<ServingEngine> listed(String service) {
    return directory.ofService(service);
  }

  /** Whether this node sends requests to the engine. */
  boolean takesRequests(ServingEngine engine, long nowNanos) {
    return !engine.leaving() && healthy(engine, nowNanos);
  }

  /**
   * Delay in ms until this node learns which requests another node has sent to the engines; 0 where
   * nodes report to each other directly.
   */
  double lagMillis(long nowNanos) {
    return peerLoads.lagMillis(nowNanos);
  }

  /**
   * Mean age in ms of this node's data about the load of the other nodes; also the mean time until
   * it learns of a change of that load.
   */
  double refreshMillis(long nowNanos) {
    return MEAN_REPORT_AGE_MILLIS + lagMillis(nowNanos);
  }

  /** Ratio of the time that work takes at an engine to the time usual for its service. */
  double slowness(ServingEngine engine, WorkKind kind, long nowNanos) {
    return pace.slowness(engine.id(), kind, nowNanos);
  }

  /** Number of requests at an engine, over all nodes. */
  int running(ServingEngine engine, long nowNanos) {
    return load(engine).running() + peerLoads.running(engine.id(), nowNanos);
  }

  /** Number of long answers that have begun at an engine, over all nodes. */
  int streams(ServingEngine engine, long nowNanos) {
    return load(engine).streams() + peerLoads.streams(engine.id(), nowNanos);
  }

  /**
   * The stage to which this node or another has ordered an engine to change; {@code NONE} when it
   * is not changing.
   */
  EngineStage changingTo(ServingEngine engine, long nowNanos) {
    EngineStage own = changing.stageOf(engine.id());
    if (own != EngineStage.NONE || !peerLoads.changing(engine.id(), nowNanos)) {
      return own;
    }
    return engine.stage() == EngineStage.PREFILL ? EngineStage.DECODE : EngineStage.PREFILL;
  }

  /**
   * Marks an engine as changing its stage by order of this node.
   *
   * @param stage the stage that it is changing to
   * @param untilNanos time at which the mark expires
   */
  void beginChange(ServingEngine engine, EngineStage stage, long untilNanos) {
    load(engine);
    changing.begin(engine.id(), stage, untilNanos);
  }

  /** Removes the mark when the order to change the stage was not sent or was refused. */
  void endChange(ServingEngine engine) {
    changing.end(engine.id());
  }

  void pruneChanging(long nowNanos) {
    changing.prune(directory, nowNanos);
  }

  /** Whether this node has ordered the engine to change its stage. */
  boolean isChangingStage(String engineId) {
    return changing.stageOf(engineId) != EngineStage.NONE;
  }

  /** Returns the engine with an id; empty if it is not listed. */
  Optional<ServingEngine> find(String engineId) {
    return directory.find(engineId);
  }

  /** Ids of the engines that are listed or were listed recently. */
  Set<String> knownIds() {
    Set<String> ids = new HashSet<>(departures.ids());
    directory.all().forEach(engine -> ids.add(engine.id()));
    return ids;
  }

  /** Service of a listed engine; empty for any other engine. */
  String serviceOf(String engineId) {
    return directory.find(engineId).map(ServingEngine::service).orElse("");
  }

  EngineLoad load(ServingEngine engine) {
    return loads.computeIfAbsent(engine.id(), id -> new EngineLoad());
  }

  Map<String, EngineLoad> loads() {
    return loads;
  }

  /** Engines that were suspended, resumed or reached by another way since the last call. */
  List<HealthChange> takeHealthChanges(long nowNanos) {
    List<HealthChange> changes = new ArrayList<>();
    loads.forEach(
        (id, load) -> {
          EngineHealth health = load.health();
          if (health.takeChange()) {
            changes.add(
                new HealthChange(
                    id,
                    health.suspended(),
                    health.throughPeers(),
                    health.silent(),
                    health.failureShare(nowNanos),
                    load.running()));
          }
        });
    return changes;
  }

  PrefixCacheEstimates cachedParts() {
    return cachedParts;
  }

  /**
   * Records for each engine of the service that a request is about to be placed, since any of them
   * with free capacity may be chosen.
   */
  void onPlacing(String service, long nowNanos) {
    for (ServingEngine engine : directory.ofService(service)) {
      notices.limits().onAsked(engine.id(), nowNanos);
    }
  }

  /** Engines that can read the prompt in a separate prefill step. */
  List<ServingEngine> prefillCandidates(RequestProgress progress, long nowNanos) {
    return candidates(progress, EngineSelector::isPrefillEngine, nowNanos);
  }

  /** Engines that may run the request. */
  List<ServingEngine> runCandidates(RequestProgress progress, long nowNanos) {
    List<ServingEngine> eligible =
        candidates(
            progress,
            engine -> !isPrefillEngine(engine) && progress.allowsVersionOf(engine),
            nowNanos);
    return progress.isolated() ? withFewestRunning(eligible, nowNanos) : eligible;
  }

  private List<ServingEngine> withFewestRunning(List<ServingEngine> engines, long nowNanos) {
    int fewest = engines.stream().mapToInt(engine -> running(engine, nowNanos)).min().orElse(0);
    return engines.stream().filter(engine -> running(engine, nowNanos) == fewest).toList();
  }

  /**
   * Estimated tokens of KV cache that the requests at an engine occupy while they run. Requests of
   * this node count with their own figure, requests of other nodes with the mean at this node.
   */
  double cacheTokens(ServingEngine engine, long nowNanos) {
    return load(engine).cacheTokens()
        + peerLoads.running(engine.id(), nowNanos) * sizes(engine.service()).meanCacheTokens();
  }

  /** Prompt tokens that wait to be read at the engine, as far as this node knows; all levels. */
  long backlogTokens(ServingEngine engine, long nowNanos) {
    return backlogTokens(engine, Urgency.LEVELS - 1, nowNanos);
  }

  /**
   * Prompt tokens that wait at the engine and are read before a request of the given level.
   *
   * @param level an {@link Urgency} level
   */
  long backlogTokens(ServingEngine engine, int level, long nowNanos) {
    return load(engine).backlog().upTo(level)
        + peerLoads.backlog(engine.id(), nowNanos).upTo(level);
  }

  /**
   * Tokens that an engine is expected to read before a request of the given level: those of the
   * same and of more urgent levels, and the remainder of a less urgent prompt that it has begun to
   * read, since engines do not interrupt a prompt.
   *
   * @param level an {@link Urgency} level
   */
  long aheadTokens(ServingEngine engine, int level, long nowNanos) {
    long atLeastAsUrgent = backlogTokens(engine, level, nowNanos);
    long lessUrgent = backlogTokens(engine, nowNanos) - atLeastAsUrgent;
    return atLeastAsUrgent
        + (long) Math.min(lessUrgent, sizes(engine.service()).meanResidualTokens());
  }

  /** Statistics of the prompt lengths of a service. */
  PromptSizes sizes(String service) {
    return sizes.computeIfAbsent(service, name -> new PromptSizes());
  }

  /** Tokens of the prompt that the engine would have to read because they are not cached there. */
  int uncachedTokens(ServingEngine engine, PromptShape prompt) {
    int cached = cachedParts.cachedTokens(engine.id(), prompt.parts());
    return Math.max(0, prompt.promptTokens() - cached);
  }

  /** Engines that now have the beginning of the prompt cached and can serve as source of a copy. */
  PrefixHolders holders(RequestProgress progress, PromptShape prompt, long nowNanos) {
    if (progress.source().isPresent() || prompt.sharedTokens() < MIN_COPIED_TOKENS) {
      return PrefixHolders.none();
    }
    List<PrefixHolders.Holder> holders = new ArrayList<>();
    int maxExpectedTokens = 0;
    for (ServingEngine engine : directory.ofService(progress.service())) {
      if (!engine.leaving()) {
        int expectedTokens = cachedParts.cachedTokens(engine.id(), prompt.sharedParts());
        maxExpectedTokens = Math.max(maxExpectedTokens, expectedTokens);
      }
      int tokens = cachedParts.readyTokens(engine.id(), prompt.parts(), nowNanos);
      if (tokens > 0 && isCopySource(engine, nowNanos)) {
        holders.add(new PrefixHolders.Holder(engine, tokens));
      }
    }
    return PrefixHolders.of(holders, maxExpectedTokens);
  }

  /** Whether this node or several other nodes suspect the engine of being faulty. */
  boolean suspected(ServingEngine engine, long nowNanos) {
    return load(engine).health().suspended() || peerLoads.suspectedByPeers(engine.id(), nowNanos);
  }

  private boolean isCopySource(ServingEngine holder, long nowNanos) {
    return !suspected(holder, nowNanos);
  }

  /**
   * The preferred engine for reading a new shared part, chosen by rendezvous hashing: all nodes
   * choose the same engine, so the part is read only once.
   */
  Optional<ServingEngine> homeEngine(PromptShape prompt, Collection<ServingEngine> candidates) {
    return prompt
        .lastSharedPart()
        .flatMap(
            part ->
                candidates.stream()
                    .max(
                        (left, right) ->
                            Long.compareUnsigned(
                                RendezvousHash.weight(part.id(), left.id()),
                                RendezvousHash.weight(part.id(), right.id()))));
  }

  /**
   * Response times of the engines by service; the code that sees a request end records its time.
   */
  ResponseTimes responseTimes() {
    return responseTimes;
  }

  /**
   * Chooses the engine for an application request by water-filling: requests are distributed so
   * that all engines reach the same relative load, including the requests that other nodes are
   * expected to send before this node learns of them. When no such requests are expected, it
   * chooses the engine with the least relative load.
   *
   * @param engines engines that may run the request; at least one
   */
  ServingEngine chooseByWaterFilling(
      RequestProgress progress,
      List<ServingEngine> engines,
      WaitingParameters waiting,
      long nowNanos) {
    List<WaterFilling.EngineFill> engineFills =
        engines.stream().map(engine -> engineFill(engine, nowNanos)).toList();
    int runningByPeers = engines.stream().mapToInt(e -> peerLoads.running(e.id(), nowNanos)).sum();
    double unreportedMillis = Math.max(MEAN_REPORT_AGE_MILLIS, lagMillis(nowNanos));
    double expectedFromOthers =
        waiting.evenFill()
            ? responseTimes.arrivalsWithin(progress.service(), runningByPeers, unreportedMillis)
            : 0;
    double draw = RendezvousHash.draw(progress.envelope().requestId(), progress.service());
    return engines.get(WaterFilling.choose(engineFills, expectedFromOthers, draw));
  }

  private WaterFilling.EngineFill engineFill(ServingEngine engine, long nowNanos) {
    double capacity =
        Math.max(1, engine.slots()) / slowness(engine, WorkKind.APPLICATION, nowNanos);
    double penalty =
        FAILURE_COST * load(engine).health().failureShare(nowNanos)
            + (engine.zone().equals(zone) ? 0 : OTHER_ZONE_COST);
    return new WaterFilling.EngineFill(running(engine, nowNanos) / capacity + penalty, capacity);
  }

  private static boolean isPrefillEngine(ServingEngine engine) {
    return engine.stage() == EngineStage.PREFILL;
  }

  /**
   * Returns the engines that the request may be sent to, without those that it was sent to before.
   * Healthy engines are preferred. If there is none, all engines that are not leaving are returned,
   * except those in whose place another engine answers: when all engines of a service had ended and
   * others had their addresses, each request was sent to all of them in vain. If every engine is
   * leaving, rests or has reached its limit, those that began to leave recently.
   *
   * <p>Engines that rest are never included: a node once sent 4 requests within 3 s to an engine
   * that rejected them all, because it had the least load. Engines whose limit currently leaves
   * this node no share are excluded too, since all nodes together would exceed the capacity of the
   * engine.
   */
  private List<ServingEngine> candidates(
      RequestProgress progress, Predicate<ServingEngine> fits, long nowNanos) {
    List<ServingEngine> allowed =
        directory.ofService(progress.service()).stream()
            .filter(
                engine ->
                    !engine.leaving() && fits.test(engine) && allowsRequests(engine, nowNanos))
            .toList();
    List<ServingEngine> preferred =
        allowed.stream().filter(engine -> usable(engine, progress, nowNanos)).toList();
    if (!preferred.isEmpty()) {
      return preferred;
    }
    if (!allowed.isEmpty()) {
      return allowed.stream()
          .filter(engine -> !progress.hasTried(engine))
          .filter(engine -> !load(engine).health().isReplaced(nowNanos))
          .toList();
    }
    return departures.recentlyLeft(progress.service(), nowNanos).stream()
        .filter(engine -> fits.test(engine) && allowsRequests(engine, nowNanos))
        .filter(engine -> usable(engine, progress, nowNanos))
        .toList();
  }

  private boolean usable(ServingEngine engine, RequestProgress progress, long nowNanos) {
    return !progress.hasTried(engine)
        && healthy(engine, nowNanos)
        && !awaitsAnswerAfterRest(engine);
  }

  /** Whether the engine neither rests nor has reached its limit for this node. */
  private boolean allowsRequests(ServingEngine engine, long nowNanos) {
    return !rests(engine, nowNanos) && notices.limits().takesRequests(engine.id(), nowNanos);
  }

  /** Whether the engine asked this node to send no requests for now. */
  boolean rests(ServingEngine engine, long nowNanos) {
    return notices.rests(engine.id(), nowNanos);
  }

  /**
   * Whether the first request after a rest is still unanswered. Its answer shows whether the rest
   * has ended, so no other request is sent until then.
   */
  private boolean awaitsAnswerAfterRest(ServingEngine engine) {
    OptionalLong end = notices.restEnd(engine.id());
    return end.isPresent() && load(engine).awaitsAnswerSince(end.getAsLong());
  }

  /**
   * Time until the first engine of a service allows requests again; empty when an engine allows
   * them now, or when the service has no engine that runs requests and is not leaving.
   */
  Optional<Duration> timeUntilFirstOpen(String service, long nowNanos) {
    List<ServingEngine> runEngines =
        directory.ofService(service).stream()
            .filter(engine -> !engine.leaving() && !isPrefillEngine(engine))
            .toList();
    if (runEngines.isEmpty()
        || runEngines.stream().anyMatch(engine -> allowsRequests(engine, nowNanos))) {
      return Optional.empty();
    }
    return runEngines.stream()
        .map(engine -> timeUntilAllowsRequests(engine, nowNanos))
        .min(Comparator.naturalOrder());
  }

  private Duration timeUntilAllowsRequests(ServingEngine engine, long nowNanos) {
    Duration limitWait = notices.limits().untilNext(engine.id(), nowNanos);
    OptionalLong restEnd = notices.restEnd(engine.id());
    Duration restWait = Duration.ofNanos(Math.max(0, restEnd.orElse(nowNanos) - nowNanos));
    return restWait.compareTo(limitWait) > 0 ? restWait : limitWait;
  }

  private boolean healthy(ServingEngine engine, long nowNanos) {
    return load(engine).health().usable(nowNanos)
        && !peerLoads.suspectedByPeers(engine.id(), nowNanos)
        && changingTo(engine, nowNanos) == EngineStage.NONE;
  }

  /**
   * Returns the choice with the least cost. Ties are broken by a hash of the request id and the
   * engine id, so that nodes do not all choose the same engine.
   *
   * @param cost returns the cost of a choice
   * @param engineOf returns the engine of a choice
   */
  static <T> Optional<T> cheapest(
      Stream<T> choices,
      ToDoubleFunction<T> cost,
      Function<T, ServingEngine> engineOf,
      RequestProgress progress) {
    String requestId = progress.envelope().requestId();
    return choices.min(
        Comparator.comparingDouble(cost)
            .thenComparingLong(
                choice -> RendezvousHash.weight(requestId, engineOf.apply(choice).id())));
  }
}
