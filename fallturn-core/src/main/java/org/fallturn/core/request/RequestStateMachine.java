package org.fallturn.core.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.Outcome;
import org.fallturn.core.placement.EngineTarget;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.placement.PlacementProgress.Stage;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.port.engine.GenerateRequest;
import org.fallturn.core.port.engine.KvSource;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.PrefillRequest;
import org.fallturn.core.port.engine.TokenChunk;
import org.fallturn.core.port.engine.TokenChunk.Finish;

/**
 * The life of one model request. Not thread-safe: one thread at a time feeds events and performs
 * the returned actions in order.
 *
 * <p>Invariants: the delivered tokens are a prefix of the answer, each token once; a request ends
 * with exactly one of {@link RequestAction.Complete}, {@link RequestAction.Fail} and {@link
 * RequestAction.Abandon}; Complete only after a chunk that ends the answer; an error kind whose
 * outcome is not-run only while no engine may have seen the request; a request that is not
 * repeatable is sent to no further engine once one failed after it may have seen the request.
 */
public final class RequestStateMachine {

  private static final long MILLIS_TO_NANOS = 1_000_000;
  private static final long RETRY_SOON_MILLIS = 1_000;
  private static final long PLACE_AGAIN_MILLIS = 100;

  /** Where the request is in its life. */
  private enum Phase {
    CREATED,
    PLACING,
    WAITING,
    PREFILLING,
    DECODING,
    ENDED
  }

  private final RequestSpec spec;
  private final long deadlineNanos;
  private final Set<EngineId> excluded = new HashSet<>();
  private Phase phase = Phase.CREATED;
  private int attempt = -1;
  private int deliveredTokens;
  private int engineFailures;
  private long retryAdviceMillis = RETRY_SOON_MILLIS;
  private boolean engineMayHaveSeen;
  private PlacementAnswer.Placed placement;

  /**
   * A request that has not started.
   *
   * @param deadlineNanos monotonic time by which the answer must be complete
   */
  public RequestStateMachine(RequestSpec spec, long deadlineNanos) {
    this.spec = spec;
    this.deadlineNanos = deadlineNanos;
  }

  /** Tokens given to the caller so far. */
  public int deliveredTokens() {
    return deliveredTokens;
  }

  /** Whether the request is over. */
  public boolean ended() {
    return phase == Phase.ENDED;
  }

  /** Whether tokens are awaited from a decode engine. */
  public boolean decoding() {
    return phase == Phase.DECODING;
  }

  /** The attempt in progress, from 0. */
  public int attempt() {
    return attempt;
  }

  /** Asks for the first placement. */
  public List<RequestAction> start(long nowNanos) {
    if (phase != Phase.CREATED) {
      throw new IllegalStateException("the request has started already");
    }
    return nextAttempt(nowNanos);
  }

  /** Takes one event and says what to do. An event that comes too late has no effect. */
  public List<RequestAction> on(RequestEvent event, long nowNanos) {
    if (phase == Phase.ENDED) {
      return afterTheEnd(event);
    }
    if (event instanceof RequestEvent.ChunkReceived received) {
      return onChunk(received, nowNanos);
    }
    if (event instanceof RequestEvent.PlacementAnswered answered) {
      return onPlacement(answered, nowNanos);
    }
    if (event instanceof RequestEvent.PlacementFailed failed) {
      return onPlacementFailed(failed);
    }
    if (event instanceof RequestEvent.PrefillAnswered answered) {
      return onPrefillAnswered(answered, nowNanos);
    }
    if (event instanceof RequestEvent.PrefillFailed failed) {
      return onPrefillFailed(failed.attempt(), failed.failure(), nowNanos);
    }
    if (event instanceof RequestEvent.DecodeEnded ended) {
      AttemptFailure failure =
          new AttemptFailure(
              AttemptFailure.Kind.BROKEN, "the engine's stream ended before the answer");
      return onDecodeFailed(ended.attempt(), failure, nowNanos);
    }
    if (event instanceof RequestEvent.DecodeFailed failed) {
      return onDecodeFailed(failed.attempt(), failed.failure(), nowNanos);
    }
    if (event instanceof RequestEvent.DeadlinePassed) {
      return onDeadline();
    }
    if (event instanceof RequestEvent.RetryDue) {
      return onRetryDue(nowNanos);
    }
    return onCallerGone();
  }

  private List<RequestAction> nextAttempt(long nowNanos) {
    attempt++;
    phase = Phase.PLACING;
    placement = null;
    long remainingMillis = Math.max(1, (deadlineNanos - nowNanos) / MILLIS_TO_NANOS);
    PlacementRequest request =
        new PlacementRequest(
            spec.requestId(),
            attempt,
            spec.tenant(),
            spec.shareWeight(),
            spec.model(),
            spec.adapter(),
            spec.urgency(),
            spec.promptTokens(),
            spec.prefixHashes(),
            spec.maxTokens() - deliveredTokens,
            remainingMillis,
            excluded);
    return List.of(new RequestAction.AskPlacement(request));
  }

  private List<RequestAction> onPlacement(RequestEvent.PlacementAnswered event, long nowNanos) {
    boolean awaited = phase == Phase.PLACING && event.attempt() == attempt;
    if (!awaited) {
      return releaseLatePlacement(event);
    }
    if (event.answer() instanceof PlacementAnswer.Placed placed) {
      placement = placed;
      return placed.prefill().isPresent()
          ? sendPrefill(placed.prefill().get())
          : sendGenerate(Optional.empty());
    }
    if (event.answer() instanceof PlacementAnswer.Refused refused) {
      return onNoPlace(refused.kind(), refused.message(), refused.retryAfterMillis());
    }
    return onNoPlace(ErrorKind.NO_CAPACITY, "the pool has no leader now", RETRY_SOON_MILLIS);
  }

  /**
   * Work that an engine has begun is not given up for want of a place while there is time left: an
   * engine may come back, also one that failed before. Work not begun is refused at once.
   */
  private List<RequestAction> onNoPlace(ErrorKind kind, String message, long retryAfterMillis) {
    boolean goesOn = kind == ErrorKind.NO_CAPACITY && engineMayHaveSeen && spec.repeatable();
    if (!goesOn) {
      return end(kind, message, retryAfterMillis);
    }
    phase = Phase.WAITING;
    retryAdviceMillis = retryAfterMillis;
    return List.of(new RequestAction.ScheduleRetry(PLACE_AGAIN_MILLIS));
  }

  private List<RequestAction> onRetryDue(long nowNanos) {
    if (phase != Phase.WAITING) {
      return List.of();
    }
    excluded.clear();
    return nextAttempt(nowNanos);
  }

  private List<RequestAction> afterTheEnd(RequestEvent event) {
    return event instanceof RequestEvent.PlacementAnswered answered
        ? releaseLatePlacement(answered)
        : List.of();
  }

  private List<RequestAction> releaseLatePlacement(RequestEvent.PlacementAnswered event) {
    if (!(event.answer() instanceof PlacementAnswer.Placed placed)) {
      return List.of();
    }
    return List.of(report(placed, event.attempt(), Stage.ABANDONED));
  }

  private List<RequestAction> onPlacementFailed(RequestEvent.PlacementFailed event) {
    if (phase != Phase.PLACING || event.attempt() != attempt) {
      return List.of();
    }
    return onNoPlace(ErrorKind.NO_CAPACITY, event.message(), RETRY_SOON_MILLIS);
  }

  private List<RequestAction> sendPrefill(EngineTarget target) {
    phase = Phase.PREFILLING;
    PrefillRequest request =
        new PrefillRequest(
            spec.requestId(),
            spec.cacheScope(),
            spec.model(),
            spec.adapter(),
            spec.prompt(),
            spec.urgency());
    return List.of(new RequestAction.SendPrefill(attempt, target, request));
  }

  private List<RequestAction> sendGenerate(Optional<KvSource> kvSource) {
    phase = Phase.DECODING;
    GenerateRequest request =
        new GenerateRequest(
            spec.requestId(),
            spec.cacheScope(),
            spec.model(),
            spec.adapter(),
            spec.prompt(),
            spec.maxTokens(),
            deliveredTokens,
            spec.urgency(),
            kvSource);
    return List.of(new RequestAction.SendGenerate(attempt, placement.decode(), request));
  }

  private List<RequestAction> onPrefillAnswered(RequestEvent.PrefillAnswered event, long nowNanos) {
    if (phase != Phase.PREFILLING || event.attempt() != attempt) {
      return List.of();
    }
    PrefillAnswer answer = event.answer();
    if (!answer.requestId().equals(spec.requestId())) {
      AttemptFailure failure =
          new AttemptFailure(
              AttemptFailure.Kind.CORRUPT, "the prefill answer belongs to another request");
      return onPrefillFailed(attempt, failure, nowNanos);
    }
    engineMayHaveSeen = true;
    EngineTarget prefill = placement.prefill().orElseThrow();
    List<RequestAction> actions = new ArrayList<>();
    actions.add(report(placement, attempt, Stage.PREFILLED));
    KvSource source = new KvSource(prefill.address(), answer.kvHandle());
    actions.addAll(sendGenerate(Optional.of(source)));
    return actions;
  }

  private List<RequestAction> onPrefillFailed(
      int failedAttempt, AttemptFailure failure, long nowNanos) {
    if (phase != Phase.PREFILLING || failedAttempt != attempt) {
      return List.of();
    }
    EngineTarget target = placement.prefill().orElseThrow();
    return onEngineFailed(target, Stage.PREFILL_FAILED, failure, nowNanos);
  }

  private List<RequestAction> onDecodeFailed(
      int failedAttempt, AttemptFailure failure, long nowNanos) {
    if (phase != Phase.DECODING || failedAttempt != attempt) {
      return List.of();
    }
    return onEngineFailed(placement.decode(), Stage.DECODE_FAILED, failure, nowNanos);
  }

  private List<RequestAction> onEngineFailed(
      EngineTarget target, Stage stage, AttemptFailure failure, long nowNanos) {
    List<RequestAction> actions = new ArrayList<>();
    if (failure.kind().mayHaveRun()) {
      engineMayHaveSeen = true;
      actions.add(new RequestAction.Cancel(attempt, target));
    }
    actions.add(report(placement, attempt, stage));
    excluded.add(target.engine());
    actions.addAll(afterFailure(failure, nowNanos));
    return actions;
  }

  private List<RequestAction> afterFailure(AttemptFailure failure, long nowNanos) {
    if (deliveredTokens >= spec.maxTokens()) {
      return completeAtLimit();
    }
    if (failure.kind() == AttemptFailure.Kind.MALFORMED) {
      return end(ErrorKind.INVALID_REQUEST, failure.message(), 0);
    }
    if (failure.kind().mayHaveRun() && !spec.repeatable()) {
      return end(ErrorKind.OUTCOME_UNKNOWN, failure.message(), 0);
    }
    engineFailures++;
    if (engineFailures >= spec.maxAttempts()) {
      return end(ErrorKind.NO_CAPACITY, failure.message(), retryAdviceMillis);
    }
    return nextAttempt(nowNanos);
  }

  /** Every token the answer may have is there; only the word that it ends was lost. */
  private List<RequestAction> completeAtLimit() {
    phase = Phase.ENDED;
    return List.of(
        new RequestAction.Deliver(List.of(), Finish.LENGTH), new RequestAction.Complete());
  }

  private List<RequestAction> onChunk(RequestEvent.ChunkReceived event, long nowNanos) {
    if (phase != Phase.DECODING || event.attempt() != attempt) {
      return List.of();
    }
    TokenChunk chunk = event.chunk();
    String fault = faultOf(chunk);
    if (fault != null) {
      AttemptFailure failure = new AttemptFailure(AttemptFailure.Kind.CORRUPT, fault);
      return onDecodeFailed(attempt, failure, nowNanos);
    }
    engineMayHaveSeen = true;
    if (isDuplicate(chunk)) {
      return List.of();
    }
    deliveredTokens += chunk.tokens().size();
    RequestAction deliver = new RequestAction.Deliver(chunk.tokens(), chunk.finish());
    if (chunk.finish() == Finish.NONE) {
      return List.of(deliver);
    }
    phase = Phase.ENDED;
    return List.of(
        deliver, report(placement, attempt, Stage.COMPLETED), new RequestAction.Complete());
  }

  private String faultOf(TokenChunk chunk) {
    if (!spec.requestId().equals(chunk.requestId())) {
      return "the engine sent tokens of another request";
    }
    if (isDuplicate(chunk)) {
      return null;
    }
    if (chunk.offset() != deliveredTokens) {
      return "the engine left a gap in its stream";
    }
    if (chunk.offset() + chunk.tokens().size() > spec.maxTokens()) {
      return "the engine sent more tokens than were asked for";
    }
    return null;
  }

  private boolean isDuplicate(TokenChunk chunk) {
    return chunk.offset() < deliveredTokens
        && chunk.offset() + chunk.tokens().size() <= deliveredTokens;
  }

  private List<RequestAction> onDeadline() {
    List<RequestAction> actions = new ArrayList<>(leaveEngine());
    ErrorKind kind =
        engineMayHaveSeen ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_UNREACHABLE;
    actions.addAll(end(kind, "the deadline passed", RETRY_SOON_MILLIS));
    return actions;
  }

  private List<RequestAction> onCallerGone() {
    List<RequestAction> actions = new ArrayList<>(leaveEngine());
    phase = Phase.ENDED;
    actions.add(new RequestAction.Abandon());
    return actions;
  }

  /** Stops the exchange in progress; after it, an engine may have seen the request. */
  private List<RequestAction> leaveEngine() {
    if (phase != Phase.PREFILLING && phase != Phase.DECODING) {
      return List.of();
    }
    engineMayHaveSeen = true;
    EngineTarget target =
        phase == Phase.PREFILLING ? placement.prefill().orElseThrow() : placement.decode();
    return List.of(
        new RequestAction.Cancel(attempt, target), report(placement, attempt, Stage.ABANDONED));
  }

  private RequestAction report(PlacementAnswer.Placed placed, int ofAttempt, Stage stage) {
    return new RequestAction.Report(
        new PlacementProgress(placed.pool(), spec.requestId(), ofAttempt, stage, deliveredTokens));
  }

  private List<RequestAction> end(ErrorKind kind, String message, long retryAfterMillis) {
    phase = Phase.ENDED;
    ErrorKind honest = honestKind(kind);
    return List.of(new RequestAction.Fail(honest, message, retryAfterMillis));
  }

  /** Never lets an error say not-run once an engine may have seen the request. */
  private ErrorKind honestKind(ErrorKind kind) {
    boolean saysNotRun = kind.outcome() == Outcome.NOT_RUN;
    return saysNotRun && engineMayHaveSeen ? ErrorKind.OUTCOME_UNKNOWN : kind;
  }
}
