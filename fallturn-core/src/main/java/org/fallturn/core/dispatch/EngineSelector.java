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
 * Knows the engines of each service, and picks among them by cost: load as this node and its peers
 * count it, health as shown by the outcomes of attempts, distance, and for prompts the tokens that
 * would have to be read. Only the dispatch thread calls.
 */
final class EngineSelector {

  /** Cost of an engine in another zone, in units of relative load (requests per capacity). */
  private static final double OTHER_ZONE_RUN_COST = 0.03;

  /** Cost of an engine that fails every answer, in units of relative load. */
  private static final double FAILURE_RUN_COST = 1.0;

  /**
   * Mean age of the latest load report of another node, not counting its delay on the way: half of
   * the interval of 100 ms, as nodes report their load to each other ten times a second.
   */
  private static final double MEAN_REPORT_AGE_MILLIS = 50;

  /** Shorter shared parts are read again in less time than a copy takes. */
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
   * Applies a new list of engines; the load of an engine that is gone is kept until its requests
   * have ended.
   */
  void setDirectory(EngineDirectory newDirectory, long nowNanos) {
    departures.onChange(directory, newDirectory, nowNanos);
    newDirectory.all().forEach(this::resetHealthIfStageChanged);
    directory = newDirectory;
    changing.prune(directory, nowNanos);
    Set<String> present = new HashSet<>();
    directory.all().forEach(engine -> present.add(engine.id()));
    notices.retain(present, nowNanos);
    Set<String> known = new HashSet<>(present);
    known.addAll(departures.ids());
    cachedParts.retain(known);
    loads.entrySet().removeIf(e -> !present.contains(e.getKey()) && e.getValue().idle());
  }

  /** Failures of an engine in its former stage say nothing about the new stage. */
  private void resetHealthIfStageChanged(ServingEngine engine) {
    boolean changed =
        directory.find(engine.id()).filter(b -> b.stage() != engine.stage()).isPresent();
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
   * How long it takes until this node learns what another node has sent to the engines, in ms; 0
   * where nodes report to each other directly.
   */
  double lagMillis(long nowNanos) {
    return peerLoads.lagMillis(nowNanos);
  }

  /**
   * Mean age of what this node knows of the other nodes' load, in ms; also the mean time until it
   * learns of a change there.
   */
  double refreshMillis(long nowNanos) {
    return MEAN_REPORT_AGE_MILLIS + lagMillis(nowNanos);
  }

  /** Factor by which work takes longer at an engine than usual for its service. */
  double slowness(ServingEngine engine, WorkKind kind, long nowNanos) {
    return pace.slowness(engine.id(), kind, nowNanos);
  }

  /** Number of requests that all nodes have at an engine. */
  int running(ServingEngine engine, long nowNanos) {
    return load(engine).running() + peerLoads.running(engine.id(), nowNanos);
  }

  /** Number of long answers that have begun at an engine, for all nodes. */
  int streams(ServingEngine engine, long nowNanos) {
    return load(engine).streams() + peerLoads.streams(engine.id(), nowNanos);
  }

  /**
   * The stage that an engine is changing to, by order of this node or another; NONE when it is not
   * changing.
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
   * @param untilNanos when the mark lapses
   */
  void beginChange(ServingEngine engine, EngineStage stage, long untilNanos) {
    load(engine);
    changing.begin(engine.id(), stage, untilNanos);
  }

  /** Removes the mark, because the order was not given or was refused. */
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

  /** Returns a listed engine. */
  Optional<ServingEngine> find(String engineId) {
    return directory.find(engineId);
  }

  /** Ids of the engines that are listed, or were until a short while ago. */
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

  PrefixCacheEstimates cachedParts() {
    return cachedParts;
  }

  /**
   * Notes that a request of the service is about to be placed, which any of its engines with room
   * may get.
   */
  void onPlacing(String service, long nowNanos) {
    for (ServingEngine engine : directory.ofService(service)) {
      notices.limits().onAsked(engine.id(), nowNanos);
    }
  }

  /** Engines that may read the prompt in a separate prefill step. */
  List<ServingEngine> prefillCandidates(RequestProgress progress, long nowNanos) {
    return candidates(progress, EngineSelector::prefills, nowNanos);
  }

  /** Engines that may run the request. */
  List<ServingEngine> runCandidates(RequestProgress progress, long nowNanos) {
    List<ServingEngine> fit = candidates(progress, engine -> !prefills(engine), nowNanos);
    return progress.isolated() ? leastRunning(fit, nowNanos) : fit;
  }

  private List<ServingEngine> leastRunning(List<ServingEngine> engines, long nowNanos) {
    int least = engines.stream().mapToInt(engine -> running(engine, nowNanos)).min().orElse(0);
    return engines.stream().filter(engine -> running(engine, nowNanos) == least).toList();
  }

  /**
   * Estimated tokens of KV cache that the requests at an engine occupy while they run: the known
   * figure for those of this node, and this node's average for each request of another.
   */
  double cacheTokens(ServingEngine engine, long nowNanos) {
    return load(engine).cacheTokens()
        + peerLoads.running(engine.id(), nowNanos) * sizes(engine.service()).meanCacheTokens();
  }

  /** Prompt tokens that wait to be read at the engine, as far as this node knows. */
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
   * Tokens that an engine is expected to read before a request of the given level: those of more
   * urgent levels and of the same level, and the rest of a less urgent prompt that it has begun,
   * which it does not interrupt.
   *
   * @param level an {@link Urgency} level
   */
  long aheadTokens(ServingEngine engine, int level, long nowNanos) {
    long before = backlogTokens(engine, level, nowNanos);
    long lessUrgent = backlogTokens(engine, nowNanos) - before;
    return before + (long) Math.min(lessUrgent, sizes(engine.service()).meanResidualTokens());
  }

  /** Statistics of the prompt lengths of a service. */
  PromptSizes sizes(String service) {
    return sizes.computeIfAbsent(service, name -> new PromptSizes());
  }

  /**
   * Tokens of the prompt that the engine would have to read because it does not have them cached.
   */
  int uncachedTokens(ServingEngine engine, PromptShape prompt) {
    int cached = cachedParts.cachedTokens(engine.id(), prompt.parts());
    return Math.max(0, prompt.promptTokens() - cached);
  }

  /** Engines that have part of the prompt cached now and from which it can be copied. */
  PrefixHolders holders(RequestProgress progress, PromptShape prompt, long nowNanos) {
    if (progress.source().isPresent() || prompt.sharedTokens() < MIN_COPIED_TOKENS) {
      return PrefixHolders.none();
    }
    List<PrefixHolders.Holder> holders = new ArrayList<>();
    int soonTokens = 0;
    for (ServingEngine engine : directory.ofService(progress.service())) {
      if (!engine.leaving()) {
        int cachedSoon = cachedParts.cachedTokens(engine.id(), prompt.sharedParts());
        soonTokens = Math.max(soonTokens, cachedSoon);
      }
      int tokens = cachedParts.readyTokens(engine.id(), prompt.parts(), nowNanos);
      if (tokens > 0 && canBeCopiedFrom(engine, nowNanos)) {
        holders.add(new PrefixHolders.Holder(engine, tokens));
      }
    }
    return PrefixHolders.of(holders, soonTokens);
  }

  /** Whether this node or several others suspect the engine. */
  boolean suspected(ServingEngine engine, long nowNanos) {
    return load(engine).health().suspended() || peerLoads.suspectedByPeers(engine.id(), nowNanos);
  }

  private boolean canBeCopiedFrom(ServingEngine holder, long nowNanos) {
    return !suspected(holder, nowNanos);
  }

  /**
   * The engine that is preferred to read a new shared part, chosen by rendezvous hashing: all nodes
   * choose the same, so the part is read once.
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

  /** How long requests take at the engines of each service; whoever sees them end records it. */
  ResponseTimes responseTimes() {
    return responseTimes;
  }

  /**
   * Chooses the engine for an application request by water-filling: requests fill all engines up to
   * one relative load, counting those that other nodes send before this node learns of them. When
   * no other requests are expected, it chooses the engine of the least relative load.
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
    double lag = Math.max(MEAN_REPORT_AGE_MILLIS, lagMillis(nowNanos));
    double expectedFromOthers =
        waiting.evenFill()
            ? responseTimes.arrivalsWithin(progress.service(), runningByPeers, lag)
            : 0;
    double draw = RendezvousHash.draw(progress.envelope().requestId(), progress.service());
    return engines.get(WaterFilling.choose(engineFills, expectedFromOthers, draw));
  }

  private WaterFilling.EngineFill engineFill(ServingEngine engine, long nowNanos) {
    double capacity =
        Math.max(1, engine.slots()) / slowness(engine, WorkKind.APPLICATION, nowNanos);
    double penalty =
        FAILURE_RUN_COST * load(engine).health().failureShare(nowNanos)
            + (engine.zone().equals(zone) ? 0 : OTHER_ZONE_RUN_COST);
    return new WaterFilling.EngineFill(running(engine, nowNanos) / capacity + penalty, capacity);
  }

  private static boolean prefills(ServingEngine engine) {
    return engine.stage() == EngineStage.PREFILL;
  }

  /**
   * Engines that the request may be sent to, without those that it was sent to before. First choice
   * are healthy engines; if there is none, all that are not leaving; if every engine is leaving,
   * rests or has reached its limit, those that began to leave a short while ago. Engines that rest
   * are never included: a node once sent 4 requests within 3 s to an engine that rejected them all,
   * because it had the least load. Engines whose limit leaves this node no share now are not
   * included either, since all nodes together would send more than the engine has room for.
   */
  private List<ServingEngine> candidates(
      RequestProgress progress, Predicate<ServingEngine> fits, long nowNanos) {
    List<ServingEngine> open =
        directory.ofService(progress.service()).stream()
            .filter(engine -> !engine.leaving() && fits.test(engine) && open(engine, nowNanos))
            .toList();
    List<ServingEngine> good =
        open.stream().filter(engine -> usable(engine, progress, nowNanos)).toList();
    if (!good.isEmpty()) {
      return good;
    }
    if (!open.isEmpty()) {
      return open.stream().filter(engine -> !progress.hasTried(engine)).toList();
    }
    return departures.recentlyLeft(progress.service(), nowNanos).stream()
        .filter(engine -> fits.test(engine) && open(engine, nowNanos))
        .filter(engine -> usable(engine, progress, nowNanos))
        .toList();
  }

  private boolean usable(ServingEngine engine, RequestProgress progress, long nowNanos) {
    return !progress.hasTried(engine)
        && healthy(engine, nowNanos)
        && !awaitsAnswerAfterRest(engine);
  }

  private boolean open(ServingEngine engine, long nowNanos) {
    return !rests(engine, nowNanos) && notices.limits().takesRequests(engine.id(), nowNanos);
  }

  /** Whether the engine asked this node to send no requests for now. */
  boolean rests(ServingEngine engine, long nowNanos) {
    return notices.rests(engine.id(), nowNanos);
  }

  /**
   * Whether the first request after a rest is still unanswered. Its answer shows whether the rest
   * has ended, so no others are sent before it.
   */
  private boolean awaitsAnswerAfterRest(ServingEngine engine) {
    OptionalLong end = notices.restEnd(engine.id());
    return end.isPresent() && load(engine).awaitsAnswerSince(end.getAsLong());
  }

  /**
   * Time until the first engine of a service takes requests again; empty while one takes them now,
   * or when there is none.
   */
  Optional<Duration> timeUntilFirstOpen(String service, long nowNanos) {
    List<ServingEngine> running =
        directory.ofService(service).stream()
            .filter(engine -> !engine.leaving() && !prefills(engine))
            .toList();
    if (running.isEmpty() || running.stream().anyMatch(engine -> open(engine, nowNanos))) {
      return Optional.empty();
    }
    return running.stream()
        .map(engine -> timeUntilOpen(engine, nowNanos))
        .min(Comparator.naturalOrder());
  }

  private Duration timeUntilOpen(ServingEngine engine, long nowNanos) {
    Duration room = notices.limits().untilNext(engine.id(), nowNanos);
    OptionalLong restEnd = notices.restEnd(engine.id());
    Duration rest = Duration.ofNanos(Math.max(0, restEnd.orElse(nowNanos) - nowNanos));
    return rest.compareTo(room) > 0 ? rest : room;
  }

  private boolean healthy(ServingEngine engine, long nowNanos) {
    return load(engine).health().usable(nowNanos)
        && !peerLoads.suspectedByPeers(engine.id(), nowNanos)
        && changingTo(engine, nowNanos) == EngineStage.NONE;
  }

  /**
   * Returns the choice of least cost. Ties are broken by a hash of the request's id, so that nodes
   * do not all take the same engine.
   *
   * @param cost cost of a choice
   * @param engineOf the engine of a choice
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
