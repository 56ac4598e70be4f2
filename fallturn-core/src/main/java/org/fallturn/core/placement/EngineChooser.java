package org.fallturn.core.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Urgency;

/**
 * Chooses the prefill and the decode engine of a request together, by the predicted time until its
 * answer is complete. Candidates are the few least loaded engines of each role and those that hold
 * the longest cached prefixes, so that reuse and a near transfer are weighed against load at a cost
 * of O(log n).
 */
final class EngineChooser {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int NEAREST = 3;
  private static final double FAIR_RESERVE = 0.03;

  private final PlacementParameters parameters;
  private final EngineTable engines;
  private final PrefixIndex prefixes;
  private final CostModel costs;
  private final TenantShares shares;

  EngineChooser(
      PlacementParameters parameters,
      EngineTable engines,
      PrefixIndex prefixes,
      CostModel costs,
      TenantShares shares) {
    this.parameters = parameters;
    this.engines = engines;
    this.prefixes = prefixes;
    this.costs = costs;
    this.shares = shares;
  }

  /** The best engines with room for the request now; empty when it must wait. */
  Optional<EngineChoice> choose(PlacementRequest request) {
    if (!hasDecodeRoom(request)) {
      return Optional.empty();
    }
    List<EngineSlot> decodes = engines.leastLoadedDecode(request.excluded(), NEAREST);
    decodes.removeIf(decode -> !hasSlot(decode));
    if (decodes.isEmpty()) {
      return Optional.empty();
    }
    Map<EngineId, Integer> matches = prefixes.longestMatches(request.prefixHashes());
    EngineChoice local = bestLocal(request, decodes.get(0), matches);
    EngineChoice remote = bestRemote(request, decodes, matches);
    return Optional.ofNullable(sooner(local, remote));
  }

  /** The least time the request takes from its placement on, at the present load of the batches. */
  double leastSeconds(PlacementRequest request, int uncachedTokens) {
    List<EngineSlot> decodes = engines.leastLoadedDecode(Set.of(), 1);
    int batch = decodes.isEmpty() ? 1 : decodes.get(0).decodeLoad() + 1;
    double prefill = costs.prefillSeconds(uncachedTokens);
    return prefill + costs.decodeSeconds(request.expectedOutputTokens(), batch);
  }

  /** Prompt tokens left to compute where the longest prefix is cached. */
  int uncachedTokens(PlacementRequest request) {
    int cached =
        prefixes.longestMatches(request.prefixHashes()).values().stream()
            .max(Integer::compare)
            .orElse(0);
    return uncached(request, cached);
  }

  /** Whether an engine that the request does not exclude could serve it some time. */
  boolean isServable(PlacementRequest request) {
    return !engines.leastLoadedDecode(request.excluded(), 1).isEmpty()
        || engines.all().stream()
            .filter(slot -> !request.excluded().contains(slot.engine))
            .anyMatch(slot -> slot.mayServeSoon(EngineRole.DECODE));
  }

  /** Some slots stay free for urgent work, and some for tenants below their share. */
  private boolean hasDecodeRoom(PlacementRequest request) {
    int slots = parameters.decodeSlots() * engines.decodeEngines();
    double reserve = 0;
    if (request.urgency().compareTo(Urgency.HIGH) < 0) {
      reserve = Math.floor(slots * parameters.urgentReserve());
    }
    if (shares.isAtShare(request.tenant(), slots)) {
      reserve += Math.ceil(slots * FAIR_RESERVE);
    }
    return engines.freeDecodeSlots() > reserve;
  }

  private boolean hasSlot(EngineSlot decode) {
    return decode.decodeLoad() < parameters.decodeSlots();
  }

  private EngineChoice bestLocal(
      PlacementRequest request, EngineSlot leastLoaded, Map<EngineId, Integer> matches) {
    EngineChoice best = local(request, leastLoaded, matches);
    for (EngineId engine : matches.keySet()) {
      EngineSlot holder = engines.find(engine);
      if (isUsable(request, holder, EngineRole.DECODE) && hasSlot(holder)) {
        best = sooner(best, local(request, holder, matches));
      }
    }
    return best;
  }

  private EngineChoice local(
      PlacementRequest request, EngineSlot decode, Map<EngineId, Integer> matches) {
    int uncached = uncached(request, matches.getOrDefault(decode.engine, 0));
    boolean tooLong = uncached > parameters.localPrefillMaxTokens();
    if (tooLong && engines.prefillEngines() > 0) {
      return null;
    }
    PredictedWork work = work(request, uncached, 0, decode);
    return new EngineChoice(Optional.empty(), decode, uncached, work, work.seconds(costs));
  }

  private EngineChoice bestRemote(
      PlacementRequest request, List<EngineSlot> decodes, Map<EngineId, Integer> matches) {
    List<EngineSlot> prefills =
        engines.leastLoadedPrefill(request.urgency(), request.excluded(), NEAREST);
    for (EngineId engine : matches.keySet()) {
      EngineSlot holder = engines.find(engine);
      if (isUsable(request, holder, EngineRole.PREFILL) && !prefills.contains(holder)) {
        prefills.add(holder);
      }
    }
    EngineChoice best = null;
    for (EngineSlot prefill : prefills) {
      if (hasPrefillRoom(request, prefill)) {
        int uncached = uncached(request, matches.getOrDefault(prefill.engine, 0));
        best = sooner(best, remote(request, prefill, decodes, uncached));
      }
    }
    return best;
  }

  private EngineChoice remote(
      PlacementRequest request, EngineSlot prefill, List<EngineSlot> decodes, int uncached) {
    long tokens = prefill.prefillBacklog(request.urgency()) + uncached;
    EngineChoice best = null;
    for (EngineSlot decode : decodes) {
      double transfer = costs.transferSeconds(prefill.zone.equals(decode.zone));
      PredictedWork work = work(request, tokens, transfer, decode);
      best =
          sooner(
              best,
              new EngineChoice(Optional.of(prefill), decode, uncached, work, work.seconds(costs)));
    }
    return best;
  }

  private static PredictedWork work(
      PlacementRequest request, long prefillTokens, double transferSeconds, EngineSlot decode) {
    return new PredictedWork(
        prefillTokens, transferSeconds, request.expectedOutputTokens(), decode.decodeLoad() + 1);
  }

  private boolean hasPrefillRoom(PlacementRequest request, EngineSlot prefill) {
    long backlog = prefill.prefillBacklog(request.urgency());
    double bound = parameters.maxPrefillBacklog().toNanos() / NANOS_PER_SECOND;
    return backlog == 0 || costs.prefillSeconds(backlog) < bound;
  }

  private static boolean isUsable(PlacementRequest request, EngineSlot slot, EngineRole role) {
    return slot != null && slot.serves(role) && !request.excluded().contains(slot.engine);
  }

  private static int uncached(PlacementRequest request, int cached) {
    return Math.max(1, request.promptTokens() - cached);
  }

  private static EngineChoice sooner(EngineChoice one, EngineChoice other) {
    if (one == null || other == null) {
      return one == null ? other : one;
    }
    return other.finishSeconds() < one.finishSeconds() ? other : one;
  }
}
