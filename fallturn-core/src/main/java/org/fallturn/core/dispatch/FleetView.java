package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.ServingEngine;

/**
 * Exchanges knowledge of engines and prompts with the other nodes: takes what they report and
 * provides what this node reports to them. The sums of their load at each engine are in {@link
 * PeerLoads}. Only the dispatch thread calls it.
 */
public final class FleetView {

  /** Minimum length in tokens of a prompt that is worth a message to the other nodes. */
  private static final int MIN_REPORTED_TOKENS = 2_000;

  private static final double NANOS_PER_MILLI = 1e6;

  private final EngineSelector selector;
  private final PeerLoads peerLoads;
  private final EngineNotices notices;
  private final PrefillSpeeds speeds;
  private final ToLongFunction<String> cacheTokens;
  private final LocalDigests ownDigests;
  private final List<PlacedPrompt> newPrompts = new ArrayList<>();
  private EngineDirectory listed = EngineDirectory.empty();
  private OptionalInt nodeCount = OptionalInt.empty();

  /**
   * Creates the view of a node that has not heard from any other.
   *
   * @param cacheTokens gives the cache capacity in tokens of an engine of a service
   */
  FleetView(
      EngineSelector selector,
      PeerLoads peerLoads,
      EngineNotices notices,
      PrefillSpeeds speeds,
      PaceObserver pace,
      ToLongFunction<String> cacheTokens) {
    this.selector = selector;
    this.peerLoads = peerLoads;
    this.notices = notices;
    this.speeds = speeds;
    this.cacheTokens = cacheTokens;
    this.ownDigests = new LocalDigests(selector, notices, pace);
  }

  /** Takes the engines as their directory entries describe them. */
  void setListed(EngineDirectory directory) {
    listed = directory;
  }

  /** Takes the number of nodes that there may be, this one included; empty if not known. */
  void setNodeCount(OptionalInt count) {
    nodeCount = count;
  }

  /**
   * Takes what another node reports of engines, of prompts that it has placed, and of the speeds of
   * engines.
   */
  public void onPeerReport(LoadDigest digest, long nowNanos) {
    digest.prompts().forEach(prompt -> record(prompt, nowNanos));
    digest.speeds().forEach((service, learned) -> speeds.of(service).onPeerReport(learned));
    digest.engines().forEach((id, engine) -> onPeerReport(id, engine, nowNanos));
    updatePeerLimits(nowNanos);
  }

  /** This node's share of the requests that run at the engines of each service, 0 to 1. */
  public Map<String, Double> loadShares(long nowNanos) {
    Map<String, Integer> own = new HashMap<>();
    Map<String, Integer> all = new HashMap<>();
    for (ServingEngine engine : listed.all()) {
      own.merge(engine.service(), selector.load(engine).running(), Integer::sum);
      all.merge(engine.service(), selector.running(engine, nowNanos), Integer::sum);
    }
    Map<String, Double> shares = new HashMap<>();
    all.forEach(
        (service, running) ->
            shares.put(service, running == 0 ? 0 : own.get(service) / (double) running));
    return shares;
  }

  private void onPeerReport(String engineId, EngineDigest engine, long nowNanos) {
    if (engine.leaving() > 0) {
      notices.onLeaving(engineId, NoticeSource.PEER, nowNanos);
    }
    notices.limits().onPeerReport(engineId, engine.limit().announced(), nowNanos);
  }

  private void updatePeerLimits(long nowNanos) {
    notices.limits().setOthers(id -> peerLoads.limit(id, nowNanos).rate(), nodeCount);
  }

  private void record(PlacedPrompt prompt, long nowNanos) {
    long readyAt = nowNanos + TimeUnit.MILLISECONDS.toNanos(prompt.readyInMillis());
    String service = selector.serviceOf(prompt.engineId());
    long tokens = prompt.parts().stream().mapToLong(PromptPart::tokens).sum();
    selector.sizes(service).onPrompt(tokens, nowNanos);
    selector
        .cachedParts()
        .record(prompt.engineId(), cacheTokens.applyAsLong(service), prompt.parts(), readyAt);
  }

  /**
   * Records that this node sends a prompt to an engine. Long prompts are reported to the other
   * nodes.
   *
   * @param millis time in ms until the engine is expected to have read the prompt
   */
  void onPlaced(ServingEngine engine, PromptShape prompt, double millis, long nowNanos) {
    long readyAt = nowNanos + (long) (millis * NANOS_PER_MILLI);
    selector
        .cachedParts()
        .record(engine.id(), cacheTokens.applyAsLong(engine.service()), prompt.parts(), readyAt);
    selector.sizes(engine.service()).onPrompt(prompt.promptTokens(), nowNanos);
    if (prompt.promptTokens() >= MIN_REPORTED_TOKENS) {
      newPrompts.add(new PlacedPrompt(engine.id(), (int) millis, prompt.parts()));
    }
  }

  /** Returns whether prompts were placed since they were last taken. */
  public boolean hasNewPrompts() {
    return !newPrompts.isEmpty();
  }

  /** Removes and returns the prompts placed since the last call. */
  public List<PlacedPrompt> takeNewPrompts() {
    List<PlacedPrompt> taken = List.copyOf(newPrompts);
    newPrompts.clear();
    return taken;
  }

  /**
   * Takes the engine's own listing of the parts that it has cached.
   *
   * @param askedAtNanos time at which the engine was asked
   */
  public void onEngineCacheListing(PlacedPrompt kept, long askedAtNanos) {
    selector.cachedParts().replace(kept.engineId(), kept.parts(), 0, askedAtNanos);
  }

  /** Takes a listing that an engine gave to another node. */
  public void onPeerCacheListing(CacheListing listing, long nowNanos) {
    long askedAt = nowNanos - TimeUnit.MILLISECONDS.toNanos(listing.ageMillis());
    selector
        .cachedParts()
        .replace(listing.engineId(), listing.parts(), listing.leastTokens(), askedAt);
  }

  /** Returns what each engine is estimated to have cached, for a node that has just started. */
  public List<CacheListing> cacheListings(long nowNanos) {
    return selector.cachedParts().listings(nowNanos);
  }

  /** Returns the load that this node has at each engine, for the other nodes. */
  public Map<String, EngineDigest> ownLoads(long nowNanos) {
    updatePeerLimits(nowNanos);
    return ownDigests.all(listed, nowNanos);
  }

  /**
   * Returns how fast engines read prompts, by service, as far as this node has learned it or has
   * taken it over from another node.
   */
  public Map<String, LearnedSpeed> ownSpeeds() {
    return speeds.learned();
  }
}
