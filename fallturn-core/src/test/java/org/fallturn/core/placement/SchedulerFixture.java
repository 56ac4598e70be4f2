package org.fallturn.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderNumber;

/** A scheduler with engines, and short ways to make its events. */
final class SchedulerFixture {
  static final ModelName MODEL = new ModelName("model");
  static final ZoneName ZONE = new ZoneName("zone");
  static final PoolId POOL = new PoolId(ZONE, MODEL, 0);
  static final long SECOND = 1_000_000_000L;

  final PoolScheduler scheduler;
  private final List<EngineListing> listing = new ArrayList<>();

  SchedulerFixture(PlacementParameters parameters, int prefillEngines, int decodeEngines) {
    scheduler = new PoolScheduler(POOL, new Epoch(1), parameters, 0);
    for (int index = 0; index < prefillEngines; index++) {
      list(prefill(index));
    }
    for (int index = 0; index < decodeEngines; index++) {
      list(decode(index));
    }
    scheduler.onListing(listing, 0);
    listing.forEach(entry -> scheduler.onEngineState(serving(entry.engine(), 1, 0), 0));
  }

  /** Parameters with few decode slots, so that little work fills a pool. */
  static PlacementParameters slots(int decodeSlots, int maxQueued) {
    PlacementParameters defaults = PlacementParameters.defaults();
    return new PlacementParameters(
        defaults.maxEnginesPerPool(),
        defaults.maxMergedEngines(),
        maxQueued,
        defaults.maxPrefillBacklog(),
        decodeSlots,
        0,
        defaults.prefillTokensPerSecond(),
        defaults.firstTokenInterval(),
        defaults.fullBatchInterval(),
        defaults.kvTransfer(),
        defaults.farTransfer(),
        defaults.localPrefillMaxTokens(),
        defaults.estimateFactor(),
        defaults.engineAbsentRetry(),
        defaults.kvHold(),
        defaults.leakedAfter(),
        defaults.maxBlocksPerEngine());
  }

  private void list(EngineId engine) {
    int port = 1 + listing.size();
    listing.add(
        new EngineListing(engine, ZONE, new NetworkAddress("127.0.0.1", port), false, false));
  }

  static EngineId prefill(int index) {
    return new EngineId("prefill-" + index);
  }

  static EngineId decode(int index) {
    return new EngineId("decode-" + index);
  }

  static EngineState serving(EngineId engine, long incarnation, int running) {
    EngineRole role = engine.value().startsWith("prefill") ? EngineRole.PREFILL : EngineRole.DECODE;
    return new EngineState(
        engine,
        incarnation,
        OrderNumber.NONE,
        role,
        MODEL,
        "1",
        Map.of(),
        EngineState.Activity.SERVING,
        false,
        running);
  }

  static RequestBuilder request(String id) {
    return new RequestBuilder(id);
  }

  /** Submits and returns the decisions this led to. */
  List<PlacementDecision> submit(PlacementRequest request, long nowNanos) {
    scheduler.submit(request, nowNanos);
    return scheduler.takeDecisions();
  }

  List<PlacementDecision> report(
      PlacementRequest request, PlacementProgress.Stage stage, int tokens, long nowNanos) {
    scheduler.onProgress(
        new PlacementProgress(POOL, request.requestId(), request.attempt(), stage, tokens),
        nowNanos);
    return scheduler.takeDecisions();
  }

  static boolean isPlaced(PlacementDecision decision) {
    return decision.answer() instanceof PlacementAnswer.Placed;
  }

  static PlacementAnswer.Refused refusal(PlacementDecision decision) {
    return (PlacementAnswer.Refused) decision.answer();
  }

  /** Builds requests. */
  static final class RequestBuilder {
    private final String id;
    private int attempt;
    private String tenant = "tenant";
    private double weight = 1;
    private Urgency urgency = Urgency.NORMAL;
    private int promptTokens = 100;
    private List<Long> prefixes = List.of();
    private int outputTokens = 10;
    private long deadlineMillis = 60_000;
    private Set<EngineId> excluded = Set.of();

    RequestBuilder(String id) {
      this.id = id;
    }

    RequestBuilder attempt(int value) {
      attempt = value;
      return this;
    }

    RequestBuilder tenant(String name, double shareWeight) {
      tenant = name;
      weight = shareWeight;
      return this;
    }

    RequestBuilder urgency(Urgency value) {
      urgency = value;
      return this;
    }

    RequestBuilder prompt(int tokens, List<Long> hashes) {
      promptTokens = tokens;
      prefixes = hashes;
      return this;
    }

    RequestBuilder output(int tokens) {
      outputTokens = tokens;
      return this;
    }

    RequestBuilder deadlineMillis(long value) {
      deadlineMillis = value;
      return this;
    }

    RequestBuilder excluded(EngineId... engines) {
      excluded = Set.of(engines);
      return this;
    }

    PlacementRequest build() {
      return new PlacementRequest(
          new RequestId(id),
          attempt,
          new TenantName(tenant),
          weight,
          MODEL,
          "",
          urgency,
          promptTokens,
          prefixes,
          outputTokens,
          deadlineMillis,
          excluded);
    }
  }
}
