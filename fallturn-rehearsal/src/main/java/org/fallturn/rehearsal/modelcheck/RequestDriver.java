package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.placement.EngineTarget;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.TokenChunk;
import org.fallturn.core.request.AttemptFailure;
import org.fallturn.core.request.RequestAction;
import org.fallturn.core.request.RequestEvent;
import org.fallturn.core.request.RequestSpec;
import org.fallturn.core.request.RequestStateMachine;

/** Drives one request's {@link RequestStateMachine} against engines that misbehave at random. */
final class RequestDriver {

  private static final long DEADLINE_NANOS = Duration.ofSeconds(12).toNanos();
  private static final long STALL_NANOS = Duration.ofSeconds(2).toNanos();
  private static final Duration SHORT = Duration.ofMillis(1);
  private static final Duration STEP = Duration.ofMillis(60);
  private static final ModelName MODEL = new ModelName("model");
  private static final PoolId POOL = new PoolId(new ZoneName("zone"), MODEL, 0);
  private static final int MAX_ATTEMPTS = 4;
  private static final int MAX_LENGTH = 30;
  private static final int MAX_CHUNK = 4;
  private static final double FAULT_SHARE = 0.15;
  private static final double CHUNK_FAULT_SHARE = 0.04;

  private final RequestScenario.World world;
  private final Simulation simulation;
  private final String id;
  private final int length;
  private final RequestStateMachine machine;
  private final List<String> received = new ArrayList<>();

  RequestDriver(RequestScenario.World world, String id, boolean repeatable) {
    this.world = world;
    this.simulation = world.simulation();
    this.id = id;
    this.length = simulation.random().nextInt(1, MAX_LENGTH + 1);
    boolean claimedRepeatable =
        repeatable || world.isBroken(BrokenVariant.REPEATED_AFTER_BROKEN_STREAM);
    this.machine = new RequestStateMachine(spec(claimedRepeatable), DEADLINE_NANOS);
  }

  private RequestSpec spec(boolean repeatable) {
    int limit = simulation.chance(0.5) ? length : MAX_LENGTH * 2;
    return new RequestSpec(
        new RequestId(id),
        new TenantName("tenant"),
        1,
        new ServiceName("service"),
        MODEL,
        "",
        "scope",
        Urgency.NORMAL,
        "prompt",
        1,
        List.of(),
        limit,
        repeatable,
        MAX_ATTEMPTS);
  }

  void start() {
    perform(machine.start(simulation.now()));
    simulation.after(DEADLINE_NANOS, () -> on(new RequestEvent.DeadlinePassed()));
    if (simulation.chance(0.05)) {
      simulation.after(
          simulation.between(STEP, Duration.ofSeconds(5)), () -> on(new RequestEvent.CallerGone()));
    }
  }

  private void on(RequestEvent event) {
    perform(machine.on(event, simulation.now()));
  }

  private void perform(List<RequestAction> actions) {
    for (RequestAction action : actions) {
      if (action instanceof RequestAction.AskPlacement ask) {
        place(ask.request());
      } else if (action instanceof RequestAction.SendPrefill send) {
        prefill(send);
      } else if (action instanceof RequestAction.SendGenerate send) {
        generate(send);
      } else if (action instanceof RequestAction.Deliver deliver) {
        received.addAll(deliver.tokens());
        world.onDelivered(id, received, false, length);
      } else if (action instanceof RequestAction.Complete) {
        world.onDelivered(id, received, true, length);
      } else if (action instanceof RequestAction.Fail fail) {
        simulation.trace(() -> id + " fails with " + fail.kind());
        world.onFail(id, fail.kind());
      }
    }
  }

  private void place(PlacementRequest request) {
    int attempt = request.attempt();
    Optional<EngineTarget> prefill =
        simulation.chance(0.5) ? Optional.of(anyTarget()) : Optional.empty();
    PlacementAnswer answer = new PlacementAnswer.Placed(POOL, new Epoch(1), prefill, anyTarget());
    boolean lost = simulation.chance(0.05);
    later(
        () -> {
          if (lost) {
            on(new RequestEvent.PlacementFailed(attempt, "no leader answers"));
          }
          on(new RequestEvent.PlacementAnswered(attempt, answer));
        });
  }

  private EngineTarget anyTarget() {
    List<String> engines = world.engines();
    String name = engines.get(simulation.random().nextInt(engines.size()));
    return new EngineTarget(new EngineId(name), new NetworkAddress("127.0.0.1", 1));
  }

  private void later(Runnable action) {
    simulation.after(simulation.between(SHORT, STEP), action);
  }

  // Engines.

  private void prefill(RequestAction.SendPrefill send) {
    int attempt = send.attempt();
    Optional<AttemptFailure.Kind> fault = faultBeforeWork();
    if (fault.isPresent()) {
      later(() -> on(new RequestEvent.PrefillFailed(attempt, failure(fault.get()))));
      return;
    }
    boolean silent = simulation.chance(FAULT_SHARE / 2);
    boolean crossed = simulation.chance(CHUNK_FAULT_SHARE);
    later(
        () -> {
          simulation.trace(() -> id + " is prefilled, attempt " + attempt);
          world.onPrefill(id);
          RequestId echo = new RequestId(crossed ? "request-other" : id);
          PrefillAnswer answer = new PrefillAnswer(echo, "kv", 1, 0, 1);
          if (!silent) {
            later(() -> on(new RequestEvent.PrefillAnswered(attempt, answer)));
          }
        });
    simulation.after(
        STALL_NANOS,
        () ->
            on(
                new RequestEvent.PrefillFailed(
                    attempt, failure(told(AttemptFailure.Kind.STALLED)))));
  }

  private void generate(RequestAction.SendGenerate send) {
    int attempt = send.attempt();
    Optional<AttemptFailure.Kind> fault = faultBeforeWork();
    if (fault.isPresent()) {
      later(() -> on(new RequestEvent.DecodeFailed(attempt, failure(fault.get()))));
      return;
    }
    later(
        () -> {
          simulation.trace(() -> id + " is generated, attempt " + attempt);
          world.onGenerate(id, attempt);
          stream(attempt, send.request().startOffset());
        });
  }

  private Optional<AttemptFailure.Kind> faultBeforeWork() {
    if (!simulation.chance(FAULT_SHARE)) {
      return Optional.empty();
    }
    return Optional.of(
        simulation.chance(0.5) ? AttemptFailure.Kind.NOT_SENT : AttemptFailure.Kind.REFUSED);
  }

  /** Streams from an offset, one chunk after the other, until the end or a fault. */
  private void stream(int attempt, int offset) {
    if (simulation.chance(CHUNK_FAULT_SHARE)) {
      world.coverage().count("broken-streams");
      breakOff(attempt);
      return;
    }
    int count = Math.min(simulation.random().nextInt(1, MAX_CHUNK + 1), length - offset);
    boolean last = offset + count >= length;
    TokenChunk chunk = chunk(id, offset, count, last);
    if (simulation.chance(CHUNK_FAULT_SHARE)) {
      later(() -> deliver(attempt, chunk("request-other", offset, count, last)));
    }
    deliver(attempt, chunk);
    if (simulation.chance(CHUNK_FAULT_SHARE)) {
      simulation.after(
          simulation.between(SHORT, Duration.ofSeconds(1)), () -> deliver(attempt, chunk));
    }
    if (!last) {
      boolean gap = simulation.chance(CHUNK_FAULT_SHARE / 2);
      int next = offset + count + (gap && offset + count + 1 < length ? 1 : 0);
      later(() -> stream(attempt, next));
    }
  }

  private void breakOff(int attempt) {
    switch (simulation.random().nextInt(3)) {
      case 0 -> onEnded(attempt);
      case 1 ->
          on(new RequestEvent.DecodeFailed(attempt, failure(told(AttemptFailure.Kind.BROKEN))));
      default ->
          simulation.after(
              STALL_NANOS,
              () ->
                  on(
                      new RequestEvent.DecodeFailed(
                          attempt, failure(told(AttemptFailure.Kind.STALLED)))));
    }
  }

  private void onEnded(int attempt) {
    if (world.isBroken(BrokenVariant.BROKEN_STREAM_TAKEN_AS_WHOLE)) {
      TokenChunk end =
          new TokenChunk(
              new RequestId(id), machine.deliveredTokens(), List.of(), TokenChunk.Finish.STOP);
      on(new RequestEvent.ChunkReceived(attempt, end));
    } else {
      on(new RequestEvent.DecodeEnded(attempt));
    }
  }

  private void deliver(int attempt, TokenChunk chunk) {
    TokenChunk shown = chunk;
    if (world.isBroken(BrokenVariant.CHUNK_NOT_CHECKED)) {
      shown =
          new TokenChunk(
              new RequestId(id), machine.deliveredTokens(), chunk.tokens(), chunk.finish());
    }
    on(new RequestEvent.ChunkReceived(attempt, shown));
  }

  private static TokenChunk chunk(String request, int offset, int count, boolean last) {
    List<String> tokens = new ArrayList<>();
    for (int index = offset; index < offset + count; index++) {
      tokens.add(RequestScenario.World.token(request, index));
    }
    TokenChunk.Finish finish = last ? TokenChunk.Finish.STOP : TokenChunk.Finish.NONE;
    return new TokenChunk(new RequestId(request), offset, tokens, finish);
  }

  /** Broken variant: what may have run is reported as never sent. */
  private AttemptFailure.Kind told(AttemptFailure.Kind kind) {
    return world.isBroken(BrokenVariant.STALL_REPORTED_AS_NOT_SENT)
        ? AttemptFailure.Kind.NOT_SENT
        : kind;
  }

  private static AttemptFailure failure(AttemptFailure.Kind kind) {
    return new AttemptFailure(kind, "simulated " + kind);
  }
}
