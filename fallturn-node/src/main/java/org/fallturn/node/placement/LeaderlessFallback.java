package org.fallturn.node.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.placement.EngineListing;
import org.fallturn.core.placement.LeaderlessPlacement;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.node.http.JsonHttpClient;

/**
 * Places on a pool without its leader. The engines' roles come from their own states, read at most
 * once a second a pool and only while such requests come. Used by the client's duty thread.
 */
final class LeaderlessFallback {
  static final int MAX_IN_FLIGHT_PER_ENGINE = 8;
  private static final Duration READ_TIMEOUT = Duration.ofMillis(500);
  private static final long REFRESH_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long USABLE_NANOS = Duration.ofSeconds(5).toNanos();

  private final JsonHttpClient client;
  private final RandomGenerator random;
  private final Consumer<ClientEvent> events;
  private final LeaderlessPlacement placement = new LeaderlessPlacement(MAX_IN_FLIGHT_PER_ENGINE);
  private final Map<PoolId, Known> known = new HashMap<>();

  LeaderlessFallback(JsonHttpClient client, RandomGenerator random, Consumer<ClientEvent> events) {
    this.client = client;
    this.random = random;
    this.events = events;
  }

  /** Whether the engines' roles are known well enough; starts reading them when not fresh. */
  boolean isReady(PoolId pool, List<EngineListing> engines, long nowNanos) {
    Known state = known.computeIfAbsent(pool, key -> new Known());
    boolean everRead = state.readNanos != null;
    if (!state.reading && (!everRead || nowNanos - state.readNanos > REFRESH_NANOS)) {
      state.reading = true;
      read(pool, engines);
    }
    return everRead && nowNanos - state.readNanos <= USABLE_NANOS;
  }

  private void read(PoolId pool, List<EngineListing> engines) {
    List<EngineState> states = Collections.synchronizedList(new ArrayList<>());
    List<CompletableFuture<Void>> reads = new ArrayList<>();
    for (EngineListing engine : engines) {
      CompletableFuture<EngineState> call =
          client.get(engine.address(), "/v1/state", EngineState.class, READ_TIMEOUT);
      reads.add(call.thenAccept(states::add).exceptionally(failure -> null));
    }
    CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
        .whenComplete(
            (done, failure) ->
                events.accept(new ClientEvent.StatesRead(pool, List.copyOf(states))));
  }

  void onStates(ClientEvent.StatesRead read, long nowNanos) {
    Known state = known.computeIfAbsent(read.pool(), key -> new Known());
    state.reading = false;
    state.readNanos = nowNanos;
    state.engines.clear();
    read.states().forEach(told -> state.engines.put(told.engine(), told));
  }

  Optional<PlacementAnswer.Placed> place(
      PoolId pool, PlacementRequest request, List<EngineListing> engines) {
    Map<EngineId, EngineState> states = known.computeIfAbsent(pool, key -> new Known()).engines;
    return placement.place(pool, request, engines, states, random);
  }

  /** Whether the request was placed here; it no longer counts. */
  boolean finished(RequestId requestId) {
    return placement.finished(requestId);
  }

  int inFlightCount() {
    return placement.inFlightCount();
  }

  /** The engines' states of one pool, as last read. */
  private static final class Known {
    private final Map<EngineId, EngineState> engines = new HashMap<>();
    private Long readNanos;
    private boolean reading;
  }
}
