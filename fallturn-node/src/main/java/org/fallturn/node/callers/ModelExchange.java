package org.fallturn.node.callers;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.admission.AdmissionTicket;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.placement.EngineTarget;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.TokenChunk;
import org.fallturn.core.port.engine.TokenChunk.Finish;
import org.fallturn.core.request.AttemptFailure;
import org.fallturn.core.request.RequestAction;
import org.fallturn.core.request.RequestEvent;
import org.fallturn.core.request.RequestSpec;
import org.fallturn.core.request.RequestStateMachine;
import org.fallturn.node.engine.EngineCallException;
import org.fallturn.node.engine.EngineStream;
import org.fallturn.node.engine.EngineStreamListener;
import org.fallturn.node.engine.PrefillCall;

/**
 * Runs one model request: feeds what happens into the {@link RequestStateMachine} and performs its
 * actions. All of it happens within the request's {@link SerialExecutor}, on the thread that
 * brought the news, so that tokens go from the engine's socket to the caller's without a handover.
 */
final class ModelExchange implements InFlightRequests.TimedRequest, StreamedAnswer.Listener {

  private static final long NOT_WAITING = Long.MAX_VALUE;
  private static final long MIN_STALL_NANOS = Duration.ofMillis(500).toNanos();

  private final CallerServices services;
  private final RequestSpec spec;
  private final SerialExecutor executor;
  private final AdmissionTicket ticket;
  private final RequestStateMachine machine;
  private final long startNanos;
  private final long deadlineNanos;
  private AnswerSink sink;
  private PrefillCall prefill;
  private EngineStream stream;
  private boolean readPaused;
  private volatile long stallAtNanos = NOT_WAITING;
  private volatile long wakeAtNanos = NOT_WAITING;

  /**
   * An exchange that has not started.
   *
   * @param ticket the request's hold on its tenant's limits
   */
  ModelExchange(
      CallerServices services,
      RequestSpec spec,
      SerialExecutor executor,
      AdmissionTicket ticket,
      long startNanos,
      long deadlineNanos) {
    this.services = services;
    this.spec = spec;
    this.executor = executor;
    this.ticket = ticket;
    this.startNanos = startNanos;
    this.deadlineNanos = deadlineNanos;
    this.machine = new RequestStateMachine(spec, deadlineNanos);
  }

  /** Starts the request; its answer goes to the sink. */
  void start(AnswerSink answerSink) {
    this.sink = answerSink;
    services.inFlight().add(this);
    executor.execute(() -> machine.start(System.nanoTime()).forEach(this::perform));
  }

  /** The caller's connection failed. */
  void onCallerFailure() {
    executor.execute(this::onCallerGone);
  }

  @Override
  public void onTick(long nowNanos) {
    if (nowNanos - deadlineNanos >= 0) {
      executor.execute(() -> handle(new RequestEvent.DeadlinePassed()));
    } else if (stallAtNanos != NOT_WAITING && nowNanos - stallAtNanos >= 0) {
      executor.execute(this::onStall);
    } else if (wakeAtNanos != NOT_WAITING && nowNanos - wakeAtNanos >= 0) {
      executor.execute(this::onWake);
    }
  }

  private void onWake() {
    wakeAtNanos = NOT_WAITING;
    handle(new RequestEvent.RetryDue());
  }

  @Override
  public void onDrained() {
    if (readPaused) {
      readPaused = false;
      readOn();
    }
  }

  @Override
  public void onCallerGone() {
    if (sink.survivesCaller()) {
      sink.abandon();
      onDrained();
    } else {
      handle(new RequestEvent.CallerGone());
    }
  }

  private void handle(RequestEvent event) {
    for (RequestAction action : machine.on(event, System.nanoTime())) {
      perform(action);
    }
  }

  private void perform(RequestAction action) {
    if (action instanceof RequestAction.Deliver deliver) {
      deliver(deliver);
    } else if (action instanceof RequestAction.AskPlacement ask) {
      askPlacement(ask.request());
    } else if (action instanceof RequestAction.ScheduleRetry wake) {
      wakeAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wake.delayMillis());
    } else if (action instanceof RequestAction.SendPrefill send) {
      sendPrefill(send);
    } else if (action instanceof RequestAction.SendGenerate send) {
      sendGenerate(send);
    } else if (action instanceof RequestAction.Cancel cancel) {
      cancel(cancel.target());
    } else if (action instanceof RequestAction.Report report) {
      services.placement().report(report.progress());
    } else if (action instanceof RequestAction.Complete) {
      sink.complete();
      services.metrics().completed(machine.deliveredTokens());
      finish();
    } else if (action instanceof RequestAction.Fail fail) {
      fail(fail);
    } else {
      sink.abandon();
      services.metrics().abandoned();
      finish();
    }
  }

  private void askPlacement(PlacementRequest request) {
    services.metrics().attempted();
    stallAtNanos = NOT_WAITING;
    int attempt = request.attempt();
    services
        .placement()
        .place(request)
        .whenComplete((answer, failure) -> executor.execute(() -> onPlace(attempt, answer)));
  }

  private void onPlace(int attempt, PlacementAnswer answer) {
    if (answer == null) {
      handle(new RequestEvent.PlacementFailed(attempt, "no placement could be had"));
      return;
    }
    if (answer instanceof PlacementAnswer.Placed) {
      ticket.placed();
    }
    handle(new RequestEvent.PlacementAnswered(attempt, answer));
  }

  private void sendPrefill(RequestAction.SendPrefill send) {
    int attempt = send.attempt();
    Duration timeout =
        Duration.ofNanos(boundedNanos(services.settings().prefillTimeout(), System.nanoTime()));
    prefill = services.engines().prefill(send.target(), send.request(), timeout);
    prefill
        .answer()
        .whenComplete(
            (answer, failure) -> executor.execute(() -> onPrefill(attempt, answer, failure)));
  }

  private void onPrefill(int attempt, PrefillAnswer answer, Throwable failure) {
    if (failure instanceof EngineCallException known) {
      handle(new RequestEvent.PrefillFailed(attempt, known.failure()));
    } else {
      handle(new RequestEvent.PrefillAnswered(attempt, answer));
    }
  }

  private void sendGenerate(RequestAction.SendGenerate send) {
    readPaused = false;
    waitForEngine();
    DecodeListener listener = new DecodeListener(send.attempt());
    stream = services.engines().generate(send.target(), send.request(), listener);
  }

  private void deliver(RequestAction.Deliver deliver) {
    boolean first = machine.deliveredTokens() == deliver.tokens().size();
    if (first && deliver.finish() == Finish.NONE) {
      services.metrics().firstToken(System.nanoTime() - startNanos);
    }
    sink.append(deliver.tokens(), deliver.finish());
  }

  private void cancel(EngineTarget target) {
    if (stream != null) {
      stream.abort();
      stream = null;
    }
    if (prefill != null) {
      prefill.abort();
      prefill = null;
    }
    services.engines().cancel(target.address(), spec.requestId());
  }

  private void fail(RequestAction.Fail fail) {
    Duration retryAfter =
        fail.retryAfterMillis() > 0 ? Duration.ofMillis(fail.retryAfterMillis()) : null;
    sink.fail(new FallturnException(fail.kind(), fail.message(), retryAfter, null));
    services.metrics().failed(fail.kind());
    finish();
  }

  private void finish() {
    stallAtNanos = NOT_WAITING;
    services.inFlight().remove(this);
    ticket.finished(spec.promptTokens() + machine.deliveredTokens());
  }

  private void onReadDone(int attempt) {
    if (machine.ended() || attempt != machine.attempt()) {
      return;
    }
    sink.flush();
    if (sink.isFull()) {
      readPaused = true;
      stallAtNanos = NOT_WAITING;
    } else {
      readOn();
    }
  }

  private void readOn() {
    if (machine.decoding()) {
      waitForEngine();
      stream.resume();
    }
  }

  private void waitForEngine() {
    long nowNanos = System.nanoTime();
    stallAtNanos = nowNanos + boundedNanos(services.settings().stallTimeout(), nowNanos);
  }

  private void onStall() {
    boolean stalled = stallAtNanos != NOT_WAITING && System.nanoTime() - stallAtNanos >= 0;
    if (stalled && machine.decoding()) {
      AttemptFailure failure =
          new AttemptFailure(AttemptFailure.Kind.STALLED, "the engine went silent");
      handle(new RequestEvent.DecodeFailed(machine.attempt(), failure));
    }
  }

  /** The timeout, or half the time left if that is less, so that another attempt has a chance. */
  private long boundedNanos(Duration timeout, long nowNanos) {
    long half = Math.max(0, deadlineNanos - nowNanos) / 2;
    return Math.max(MIN_STALL_NANOS, Math.min(timeout.toNanos(), half));
  }

  /** Passes one attempt's stream on to the state machine. */
  private final class DecodeListener implements EngineStreamListener {

    private final int attempt;

    DecodeListener(int attempt) {
      this.attempt = attempt;
    }

    @Override
    public void onChunk(TokenChunk chunk) {
      executor.execute(() -> handle(new RequestEvent.ChunkReceived(attempt, chunk)));
    }

    @Override
    public void onReadDone() {
      executor.execute(() -> ModelExchange.this.onReadDone(attempt));
    }

    @Override
    public void onEnd() {
      executor.execute(() -> handle(new RequestEvent.DecodeEnded(attempt)));
    }

    @Override
    public void onFailure(AttemptFailure failure) {
      executor.execute(() -> handle(new RequestEvent.DecodeFailed(attempt, failure)));
    }
  }
}
