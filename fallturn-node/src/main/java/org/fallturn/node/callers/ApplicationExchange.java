package org.fallturn.node.callers;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.admission.AdmissionTicket;
import org.fallturn.core.configuration.ServiceRecord;
import org.fallturn.core.domain.BackEndId;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.error.Outcome;
import org.fallturn.core.idempotency.StoredAnswer;
import org.fallturn.core.request.AttemptFailure;
import org.fallturn.core.request.ForwardStateMachine;
import org.fallturn.node.application.BackEnd;
import org.fallturn.node.application.ForwardExchange;
import org.fallturn.node.application.ForwardListener;
import org.fallturn.node.application.ForwardedRequest;
import org.fallturn.node.idempotency.HeldClaim;

/**
 * Runs one request to an application service. An answer within the buffer goes to the caller only
 * when it is whole; a larger one is passed on as it comes, one write at a time, and when it breaks
 * the caller's connection is broken too, so that it never looks whole. Everything happens within
 * the request's {@link SerialExecutor}.
 */
final class ApplicationExchange implements InFlightRequests.TimedRequest {

  private static final Duration RETRY_SOON = Duration.ofSeconds(1);

  /** Where the answer is. */
  private enum Phase {
    WAITING,
    STREAMING,
    ENDED
  }

  private final CallerServices services;
  private final CallerRequest caller;
  private final ServiceRecord service;
  private final ForwardedRequest forwarded;
  private final Optional<HeldClaim> claim;
  private final AdmissionTicket ticket;
  private final long deadlineNanos;
  private final ForwardStateMachine machine;
  private final SerialExecutor executor = new SerialExecutor();
  private final Set<BackEndId> excluded = new HashSet<>();
  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
  private Phase phase = Phase.WAITING;
  private boolean callerGone;
  private int attempt;
  private int status;
  private HttpFields headers = HttpFields.EMPTY;
  private BackEnd backEnd;
  private ForwardExchange exchange;
  private volatile long attemptUntilNanos;

  ApplicationExchange(
      CallerServices services,
      CallerRequest caller,
      ServiceRecord service,
      ForwardedRequest forwarded,
      Optional<HeldClaim> claim,
      AdmissionTicket ticket,
      long deadlineNanos) {
    this.services = services;
    this.caller = caller;
    this.service = service;
    this.forwarded = forwarded;
    this.claim = claim;
    this.ticket = ticket;
    this.deadlineNanos = deadlineNanos;
    this.attemptUntilNanos = deadlineNanos;
    this.machine = new ForwardStateMachine(service.repeatable(), services.settings().maxAttempts());
  }

  void start() {
    ticket.placed();
    services.inFlight().add(this);
    executor.execute(this::send);
  }

  void onCallerFailure() {
    executor.execute(this::onCallerGone);
  }

  @Override
  public void onTick(long nowNanos) {
    if (nowNanos - deadlineNanos >= 0) {
      executor.execute(this::onDeadline);
    } else if (nowNanos - attemptUntilNanos >= 0) {
      executor.execute(this::onSilence);
    }
  }

  private void send() {
    Optional<BackEnd> chosen = services.backEnds().acquire(service.service(), excluded);
    if (chosen.isEmpty()) {
      giveUp(machine.onNoBackEnd());
      return;
    }
    backEnd = chosen.get();
    excluded.add(backEnd.id());
    attempt++;
    buffered.reset();
    attemptUntilNanos = service.repeatable() ? halfOfTheTimeLeft() : deadlineNanos;
    exchange = services.forward().send(backEnd.address(), forwarded, new AttemptListener(attempt));
  }

  private long halfOfTheTimeLeft() {
    long nowNanos = System.nanoTime();
    return nowNanos + Math.max(0, deadlineNanos - nowNanos) / 2;
  }

  private void onContent(byte[] content) {
    buffered.writeBytes(content);
    boolean fits = buffered.size() <= services.settings().answerBufferBytes();
    if (phase == Phase.WAITING && fits) {
      exchange.resume();
      return;
    }
    if (phase == Phase.WAITING) {
      phase = Phase.STREAMING;
      attemptUntilNanos = deadlineNanos;
      putHead();
    }
    passOn();
  }

  private void passOn() {
    ByteBuffer content = ByteBuffer.wrap(buffered.toByteArray());
    buffered.reset();
    if (callerGone) {
      exchange.resume();
      return;
    }
    Callback written =
        Callback.from(
            () -> executor.execute(this::onWritten),
            failure -> executor.execute(this::onCallerGone));
    caller.response().write(false, content, written);
  }

  private void onWritten() {
    if (phase == Phase.STREAMING) {
      exchange.resume();
    }
  }

  private void putHead() {
    Response response = caller.response();
    response.setStatus(status);
    ForwardHeaders.toCaller(headers, response);
    services.answers().putRequestId(caller);
  }

  private void onEnd() {
    if (phase == Phase.WAITING) {
      String type = headers.get(HttpHeader.CONTENT_TYPE);
      StoredAnswer answer =
          new StoredAnswer(status, type == null ? "" : type, buffered.toByteArray());
      claim.ifPresent(held -> held.finished(answer));
      putHead();
    } else {
      claim.ifPresent(held -> held.failed(Outcome.OUTCOME_UNKNOWN));
    }
    finish();
    services.metrics().completed(0);
    if (!callerGone) {
      ByteBuffer rest = ByteBuffer.wrap(buffered.toByteArray());
      caller.response().write(true, rest, caller.callback());
    }
  }

  private void onFailure(AttemptFailure failure) {
    if (phase == Phase.STREAMING) {
      breakOff();
      return;
    }
    if (failure.kind() == AttemptFailure.Kind.NOT_SENT) {
      services.backEnds().avoid(backEnd);
    }
    leaveBackEnd();
    ForwardStateMachine.Decision decision = machine.onFailure(failure);
    if (decision instanceof ForwardStateMachine.GiveUp giveUp) {
      giveUp(giveUp);
    } else {
      send();
    }
  }

  /** A broken answer of which a part was passed on: the caller sees a broken connection. */
  private void breakOff() {
    claim.ifPresent(held -> held.failed(Outcome.OUTCOME_UNKNOWN));
    finish();
    services.metrics().brokenOff();
    if (!callerGone) {
      caller.callback().failed(new CallerGoneException("the back end broke its answer off"));
    }
  }

  private void onSilence() {
    boolean silent =
        phase == Phase.WAITING && System.nanoTime() - attemptUntilNanos >= 0 && backEnd != null;
    if (silent) {
      exchange.abort();
      onFailure(new AttemptFailure(AttemptFailure.Kind.STALLED, "the back end went silent"));
    }
  }

  private void onDeadline() {
    if (phase == Phase.ENDED) {
      return;
    }
    if (exchange != null) {
      exchange.abort();
    }
    if (phase == Phase.STREAMING) {
      breakOff();
    } else {
      giveUp(machine.onDeadline(backEnd != null));
    }
  }

  private void onCallerGone() {
    if (phase == Phase.ENDED || callerGone) {
      return;
    }
    callerGone = true;
    caller.callback().failed(new CallerGoneException("the caller is gone"));
    if (claim.isPresent()) {
      exchange.resume();
      return;
    }
    if (exchange != null) {
      exchange.abort();
    }
    finish();
    services.metrics().abandoned();
  }

  private void giveUp(ForwardStateMachine.GiveUp giveUp) {
    claim.ifPresent(held -> held.failed(giveUp.kind().outcome()));
    finish();
    Duration retryAfter = giveUp.kind().hasRetryAfter() ? RETRY_SOON : null;
    FallturnException error =
        new FallturnException(giveUp.kind(), giveUp.message(), retryAfter, null);
    if (callerGone) {
      services.metrics().failed(error.kind());
    } else {
      services.refuse(caller, error);
    }
  }

  private void finish() {
    phase = Phase.ENDED;
    leaveBackEnd();
    services.inFlight().remove(this);
    ticket.finished(0);
  }

  private void leaveBackEnd() {
    if (backEnd != null) {
      services.backEnds().release(backEnd);
      backEnd = null;
    }
  }

  /** Passes one attempt's news on; those of an earlier attempt have no effect. */
  private final class AttemptListener implements ForwardListener {

    private final int ofAttempt;

    AttemptListener(int ofAttempt) {
      this.ofAttempt = ofAttempt;
    }

    @Override
    public void onHead(int newStatus, HttpFields newHeaders) {
      execute(
          () -> {
            status = newStatus;
            headers = newHeaders;
          });
    }

    @Override
    public void onContent(byte[] content) {
      execute(() -> ApplicationExchange.this.onContent(content));
    }

    @Override
    public void onEnd() {
      execute(ApplicationExchange.this::onEnd);
    }

    @Override
    public void onFailure(AttemptFailure failure) {
      execute(() -> ApplicationExchange.this.onFailure(failure));
    }

    private void execute(Runnable task) {
      executor.execute(
          () -> {
            if (phase != Phase.ENDED && attempt == ofAttempt) {
              task.run();
            }
          });
    }
  }
}
