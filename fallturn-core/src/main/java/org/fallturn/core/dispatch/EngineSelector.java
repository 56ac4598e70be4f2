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
 * Picks engines by cost: load as this node and its peers count it, health from outcomes, distance,
 * and for prompts the tokens that would have to be read. One thread calls.
 */
final class EngineSelector {

  private static final double OTHER_ZONE_RUN_COST = 0.03;
  private static final double FAILURE_RUN_COST = 1.0;

  /** Nodes that speak to each other tell what they have ten times a second. */
  private static final double HALF_TURN_MILLIS = 50;

  /** Shorter shared parts are read again sooner than they are copied. */
  static final int MIN_COPIED_TOKENS = 1_000;

  private final String zone;
  private final Map<String, EngineLoad> loads = new HashMap<>();
  private final PrefixCacheEstimates cachedParts = new PrefixCacheEstimates();
  private final Map<String, PromptSizes> sizes = new HashMap<>();
  private final PeerLoads peerLoads;
  private final EngineNotices notices;
  private final EnginePace pace;
  private final RecentDepartures departures;
  private final ResponseTimes stays = new ResponseTimes();
  private final ChangingEngines changing = new ChangingEngines();
  private EngineDirectory directory = EngineDirectory.empty();

  /**
   * A selector that knows no engine.
   *
   * @param pace how fast each engine works
   * @param lastResortNanos how long an engine that leaves, or whose entry is gone, may still be
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

  /** Takes a new list; loads of engines that are gone stay until their requests have ended. */
  void setDirectory(EngineDirectory newDirectory, long nowNanos) {
    departures.onChange(directory, newDirectory, nowNanos);
    newDirectory.all().forEach(this::resetWhenStageChanged);
    directory = newDirectory;
    changing.prune(directory, nowNanos);
    Set<String> present = new HashSet<>();
    directory.all().forEach(engine -> present.add(engine.id()));
    notices.retain(present, nowNanos);
    Set<String> believed = new HashSet<>(present);
    believed.addAll(departures.ids());
    cachedParts.retain(believed);
    loads.entrySet().removeIf(e -> !present.contains(e.getKey()) && e.getValue().idle());
  }

  /** What was held against an engine in its former stage says nothing about the new one. */
  private void resetWhenStageChanged(ServingEngine engine) {
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

  /** How long it takes until what another node does is known here. */
  double lagMillis(long nowNanos) {
    return peerLoads.lagMillis(nowNanos);
  }

  /** How often what the other nodes have at the engines is renewed here, and its age then. */
  double renewMillis(long nowNanos) {
    return HALF_TURN_MILLIS + lagMillis(nowNanos);
  }

  /** Factor by which work takes longer at an engine than is usual for its service. */
  double slowness(ServingEngine engine, WorkKind kind, long nowNanos) {
    return pace.slowness(engine.id(), kind, nowNanos);
  }

  /** Requests that all nodes have at an engine. */
  int running(ServingEngine engine, long nowNanos) {
    return load(engine).running() + peerLoads.running(engine.id(), nowNanos);
  }

  /** Long answers that have begun at an engine, of all nodes. */
  int streams(ServingEngine engine, long nowNanos) {
    return load(engine).streams() + peerLoads.streams(engine.id(), nowNanos);
  }

  /** The stage an engine isChangingStage to by this node's order or another's; NONE otherwise. */
  EngineStage changingTo(ServingEngine engine, long nowNanos) {
    EngineStage own = changing.stageOf(engine.id());
    if (own != EngineStage.NONE || !peerLoads.changing(engine.id(), nowNanos)) {
      return own;
    }
    return engine.stage() == EngineStage.PREFILL ? EngineStage.DECODE : EngineStage.PREFILL;
  }

  void beginChange(ServingEngine engine, EngineStage stage, long untilNanos) {
    load(engine);
    changing.begin(engine.id(), stage, untilNanos);
  }

  void endChange(ServingEngine engine) {
    changing.end(engine.id());
  }

  void pruneChanging(long nowNanos) {
    changing.prune(directory, nowNanos);
  }

  /** Whether this node has ordered the engine to change. */
  boolean isChangingStage(String engineId) {
    return changing.stageOf(engineId) != EngineStage.NONE;
  }

  /** A listed engine. */
  Optional<ServingEngine> find(String engineId) {
    return directory.find(engineId);
  }

  /** The engines that are listed, or were until a short while ago. */
  Set<String> knownIds() {
    Set<String> ids = new HashSet<>(departures.ids());
    directory.all().forEach(engine -> ids.add(engine.id()));
    return ids;
  }

  /** Service of a listed engine; empty for any other. */
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

  /** A request of the service is about to be placed, at any engine that has room for it. */
  void onAsked(String service, long nowNanos) {
    for (ServingEngine engine : directory.ofService(service)) {
      notices.limits().onAsked(engine.id(), nowNanos);
    }
  }

  /** Engines that may read a prompt ahead. */
  List<ServingEngine> prefillCandidates(RequestProgress progress, long nowNanos) {
    return candidates(progress, EngineSelector::prefills, nowNanos);
  }

  /** Engines that may run a request. */
  List<ServingEngine> runCandidates(RequestProgress progress, long nowNanos) {
    List<ServingEngine> fit = candidates(progress, engine -> !prefills(engine), nowNanos);
    return progress.isolated() ? leastRunning(fit, nowNanos) : fit;
  }

  private List<ServingEngine> leastRunning(List<ServingEngine> engines, long nowNanos) {
    int least = engines.stream().mapToInt(engine -> running(engine, nowNanos)).min().orElse(0);
    return engines.stream().filter(engine -> running(engine, nowNanos) == least).toList();
  }

  /**
   * Tokens of KV cache that the requests at an engine hold when they run: those of this node, and
   * for each of another as many as is usual here.
   */
  double cacheTokens(ServingEngine engine, long nowNanos) {
    return load(engine).cacheTokens()
        + peerLoads.running(engine.id(), nowNanos) * sizes(engine.service()).meanCache();
  }

  /** Prompt tokens that wait to be read at the engine, as far as they are known here. */
  long backlogTokens(ServingEngine engine, long nowNanos) {
    return backlogTokens(engine, Urgency.LEVELS - 1, nowNanos);
  }

  /** Those of them that go before a request of an {@link Urgency} level. */
  long backlogTokens(ServingEngine engine, int level, long nowNanos) {
    return load(engine).backlog().upTo(level)
        + peerLoads.backlog(engine.id(), nowNanos).upTo(level);
  }

  /**
   * Tokens that an engine is likely to read before it takes a request of an {@link Urgency} level:
   * those of the level and of those before it, and what is left of a less urgent prompt that it has
   * begun, which it does not set aside.
   */
  long aheadTokens(ServingEngine engine, int level, long nowNanos) {
    long before = backlogTokens(engine, level, nowNanos);
    long lessUrgent = backlogTokens(engine, nowNanos) - before;
    return before + (long) Math.min(lessUrgent, sizes(engine.service()).leftOfOne());
  }

  /** How long the prompts of a service are. */
  PromptSizes sizes(String service) {
    return sizes.computeIfAbsent(service, name -> new PromptSizes());
  }

  /** Tokens of the prompt that the engine would have to read. */
  int uncachedTokens(ServingEngine engine, PromptShape prompt) {
    int cached = cachedParts.cachedTokens(engine.id(), prompt.parts());
    return Math.max(0, prompt.promptTokens() - cached);
  }

  /** Who keeps some of a prompt now and can be copied from. */
  PrefixHolders holders(RequestProgress progress, PromptShape prompt, long nowNanos) {
    if (progress.source().isPresent() || prompt.sharedTokens() < MIN_COPIED_TOKENS) {
      return PrefixHolders.none();
    }
    List<PrefixHolders.Holder> holders = new ArrayList<>();
    int soonTokens = 0;
    for (ServingEngine engine : directory.ofService(progress.service())) {
      if (!engine.leaving()) {
        int soon = cachedParts.cachedTokens(engine.id(), prompt.sharedParts());
        soonTokens = Math.max(soonTokens, soon);
      }
      int tokens = cachedParts.readyTokens(engine.id(), prompt.parts(), nowNanos);
      if (tokens > 0 && usableSource(engine, nowNanos)) {
        holders.add(new PrefixHolders.Holder(engine, tokens));
      }
    }
    return PrefixHolders.of(holders, soonTokens);
  }

  /** Whether this node or several others have suspended the engine. */
  boolean suspected(ServingEngine engine, long nowNanos) {
    return load(engine).health().suspended() || peerLoads.suspectedByPeers(engine.id(), nowNanos);
  }

  private boolean usableSource(ServingEngine holder, long nowNanos) {
    return !suspected(holder, nowNanos);
  }

  /** All nodes agree on the first engine to read a shared part, so that it is read once. */
  Optional<ServingEngine> home(PromptShape prompt, Collection<ServingEngine> candidates) {
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

  /** Of how long application requests stay at the engines; whoever sees them end tells it. */
  ResponseTimes stays() {
    return stays;
  }

  /**
   * The engine for an application request: with those that the fleet sends before this node hears
   * of them, requests fill all engines up to one level. Without others it is the emptiest.
   *
   * @param engines those that may run it; at least one
   */
  ServingEngine evenly(
      RequestProgress progress,
      List<ServingEngine> engines,
      WaitingParameters waiting,
      long nowNanos) {
    List<WaterFilling.EngineFill> vessels =
        engines.stream().map(engine -> vessel(engine, nowNanos)).toList();
    int ofPeers = engines.stream().mapToInt(e -> peerLoads.running(e.id(), nowNanos)).sum();
    double lag = Math.max(HALF_TURN_MILLIS, lagMillis(nowNanos));
    double unseen = waiting.evenFill() ? stays.arrivalsWithin(progress.service(), ofPeers, lag) : 0;
    double draw = RendezvousHash.draw(progress.envelope().requestId(), progress.service());
    return engines.get(WaterFilling.choose(vessels, unseen, draw));
  }

  private WaterFilling.EngineFill vessel(ServingEngine engine, long nowNanos) {
    double capacity =
        Math.max(1, engine.slots()) / slowness(engine, WorkKind.APPLICATION, nowNanos);
    double besides =
        FAILURE_RUN_COST * load(engine).health().failureShare(nowNanos)
            + (engine.zone().equals(zone) ? 0 : OTHER_ZONE_RUN_COST);
    return new WaterFilling.EngineFill(running(engine, nowNanos) / capacity + besides, capacity);
  }

  private static boolean prefills(ServingEngine engine) {
    return engine.stage() == EngineStage.PREFILL;
  }

  /**
   * Engines not tried yet and in good health; when there is none, those merely not leaving, or that
   * began to leave a short while ago. Never one that rests: a node placed 4 requests within 3 s at
   * an engine that turned all of them away, since it had the fewest. Nor one whose limit this node
   * has no part of now, or it gets more from all nodes together than it has room for.
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
    return !progress.hasTried(engine) && healthy(engine, nowNanos) && !isTriedAfterRest(engine);
  }

  private boolean open(ServingEngine engine, long nowNanos) {
    return !rests(engine, nowNanos) && notices.limits().takesRequests(engine.id(), nowNanos);
  }

  /** Whether the engine wants nothing from this node. */
  boolean rests(ServingEngine engine, long nowNanos) {
    return notices.rests(engine.id(), nowNanos);
  }

  /** The first request after a rest tells whether it has ended, before others follow. */
  private boolean isTriedAfterRest(ServingEngine engine) {
    OptionalLong end = notices.restEnd(engine.id());
    return end.isPresent() && load(engine).awaitsAnswerSince(end.getAsLong());
  }

  /** Until the first of a service's engines takes requests again, where none does now. */
  Optional<Duration> untilFirstOpens(String service, long nowNanos) {
    List<ServingEngine> running =
        directory.ofService(service).stream()
            .filter(engine -> !engine.leaving() && !prefills(engine))
            .toList();
    if (running.isEmpty() || running.stream().anyMatch(engine -> open(engine, nowNanos))) {
      return Optional.empty();
    }
    return running.stream()
        .map(engine -> untilOpen(engine, nowNanos))
        .min(Comparator.naturalOrder());
  }

  private Duration untilOpen(ServingEngine engine, long nowNanos) {
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
   * The choice of least cost. Equal costs are decided by the request's id, so that nodes do not all
   * take the same engine.
   *
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
