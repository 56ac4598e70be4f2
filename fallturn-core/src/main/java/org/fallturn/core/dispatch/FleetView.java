package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.ServingEngine;

/**
 * What this node hears from the others of engines and prompts, and what it tells them. Sums of what
 * they have at each engine are with {@link PeerLoads}. Only the dispatch thread calls.
 */
public final class FleetView {

  /** Shorter prompts are not worth a message to the other nodes. */
  private static final int MIN_TOLD_TOKENS = 2_000;

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
   * A view of a node that has heard nobody.
   *
   * @param cacheTokens how many tokens an engine of a service keeps
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

  /** Takes the engines as their entries tell them. */
  void setListed(EngineDirectory directory) {
    listed = directory;
  }

  /** Takes the number of nodes that there may be, this one included; empty while not known. */
  void setNodeCount(OptionalInt count) {
    nodeCount = count;
  }

  /** Takes what another node says of engines, of prompts that were placed, and of speeds. */
  public void onPeerReport(LoadDigest digest, long nowNanos) {
    digest.prompts().forEach(prompt -> record(prompt, nowNanos));
    digest.speeds().forEach((service, learned) -> speeds.of(service).onPeerReport(learned));
    digest.engines().forEach((id, engine) -> onPeerReport(id, engine, nowNanos));
    shareLimits(nowNanos);
  }

  private void onPeerReport(String engineId, EngineDigest engine, long nowNanos) {
    if (engine.leaving() > 0) {
      notices.onLeaving(engineId, NoticeSource.PEER, nowNanos);
    }
    notices.limits().onPeerReport(engineId, engine.limit().word(), nowNanos);
  }

  private void shareLimits(long nowNanos) {
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

  /** This node places a prompt; the others are told of long ones. */
  void onPlaced(ServingEngine engine, PromptShape prompt, double millis, long nowNanos) {
    long readyAt = nowNanos + (long) (millis * NANOS_PER_MILLI);
    selector
        .cachedParts()
        .record(engine.id(), cacheTokens.applyAsLong(engine.service()), prompt.parts(), readyAt);
    selector.sizes(engine.service()).onPrompt(prompt.promptTokens(), nowNanos);
    if (prompt.promptTokens() >= MIN_TOLD_TOKENS) {
      newPrompts.add(new PlacedPrompt(engine.id(), (int) millis, prompt.parts()));
    }
  }

  /** Whether prompts were placed since they were last taken. */
  public boolean hasNewPrompts() {
    return !newPrompts.isEmpty();
  }

  /** Prompts placed since the last call. */
  public List<PlacedPrompt> takeNewPrompts() {
    List<PlacedPrompt> taken = List.copyOf(newPrompts);
    newPrompts.clear();
    return taken;
  }

  /**
   * Takes what an engine says that it keeps.
   *
   * @param askedAtNanos when it was asked
   */
  public void onEngineCacheListing(PlacedPrompt kept, long askedAtNanos) {
    selector.cachedParts().replace(kept.engineId(), kept.parts(), 0, askedAtNanos);
  }

  /** Takes what an engine told another node that it keeps. */
  public void onPeerCacheListing(CacheListing listing, long nowNanos) {
    long askedAt = nowNanos - TimeUnit.MILLISECONDS.toNanos(listing.ageMillis());
    selector
        .cachedParts()
        .replace(listing.engineId(), listing.parts(), listing.leastTokens(), askedAt);
  }

  /** What is believed of what each engine keeps, for a node that knows nothing yet. */
  public List<CacheListing> cacheListings(long nowNanos) {
    return selector.cachedParts().listings(nowNanos);
  }

  /** What this node has at each engine, for the other nodes. */
  public Map<String, EngineDigest> ownLoads(long nowNanos) {
    shareLimits(nowNanos);
    return ownDigests.all(listed, nowNanos);
  }

  /** How fast engines read, by service, as far as this node has learned it itself. */
  public Map<String, LearnedSpeed> ownSpeeds() {
    return speeds.learned();
  }
}
