package org.fallturn.node.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.Executor;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.disconnect.DisconnectCause;
import org.fallturn.core.disconnect.OrphanedRun;
import org.fallturn.core.dispatch.AttemptOutcome;
import org.fallturn.core.dispatch.AttemptTimeout;
import org.fallturn.core.dispatch.StuckReason;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.node.http.ProgressGuard;
import org.fallturn.node.json.MalformedMessageException;

/**
 * One request to one engine and the relay of its answer. Ends exactly once: by an answer, by a
 * failure, by {@link #giveUp} or by {@link #cancel}. Whoever sets the state to ENDED first decides
 * the outcome; later events are dropped. Jetty calls the listeners on client threads, one at a
 * time; the dispatch thread gives up and cancels, and any thread may withdraw the request.
 *
 * <p>Invariant: the failure of an attempt is posted once its engine no longer works on the request,
 * so that whoever sends the request on leaves no earlier run behind.
 */
final class EngineAttempt
    implements Response.HeadersListener, Response.AsyncContentListener, Response.CompleteListener {

  /**
   * Answers that are not streams are relayed only when complete, up to this size; larger successful
   * ones are relayed in parts.
   */
  private static final int MAX_WHOLE_ANSWER_BYTES = 256 * 1024;

  /**
   * Bound on answers that are never relayed in parts: failures and the answers to prefills. Bytes
   * that are no answer may go on without end.
   */
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  /** A buffer that doubles may take so many times what it holds. */
  private static final int BUFFER_GROWTH = 2;

  private final Exchange exchange;
  private final EngineCall call;
  private final EngineProtocol protocol;
  private final AnswerOwnership ownership;
  private final AnswerEndCheck endCheck;
  private final OrphanedRunCheck orphanedRuns;
  private final AttemptState state = new AttemptState();
  private final EventFramer framer = new EventFramer();
  private volatile ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private volatile EngineAnswerMemory.Share memory;
  private volatile ProgressGuard progress = new ProgressGuard();
  private volatile Request request;
  private volatile Optional<ForwardedRun> forwardedRun = Optional.empty();
  private final SendState sendState = new SendState();
  private final AttemptTimeout timeout;
  private volatile EngineAnswerHead head;
  private volatile HttpFields headers;
  private volatile boolean streamed;
  private volatile boolean endIsMarked;
  private volatile boolean endIsConfirmedByForwarder;
  private volatile boolean signOfLife;
  private volatile RunEnd runEnd = RunEnd.ABORT_ORDERED;
  private volatile boolean callEnded;
  private volatile AnswerEnd answerEnd = AnswerEnd.NONE;
  private volatile ForwardingResult forwardingResult = ForwardingResult.ANSWERED;
  private final Optional<NetworkAddress> forwarder;
  private final int sendNumber;
  private final boolean mayGoElsewhere;
  private volatile StuckReason givenUpFor;
  private boolean cancelled;
  private boolean beganPosted;

  EngineAttempt(Exchange exchange, EngineCall call, EngineClient engines, AttemptTimeout timeout) {
    this.exchange = exchange;
    this.call = call;
    this.protocol = engines.protocol();
    this.ownership = engines.ownership();
    this.endCheck = engines.answerEndCheck();
    this.orphanedRuns = engines.orphanedRuns();
    this.timeout = timeout;
    this.forwarder = exchange.progress().forwarder();
    this.mayGoElsewhere = exchange.progress().mayGoElsewhere();
    this.sendNumber = exchange.progress().runSends() + exchange.progress().prefillAttempts();
  }

  EngineCall call() {
    return call;
  }

  /** The node that sends the request for this one; empty when this one sends it itself. */
  Optional<NetworkAddress> forwarder() {
    return forwarder;
  }

  /** Which send of the request to an engine this is; the first is 1. */
  int sendNumber() {
    return sendNumber;
  }

  /**
   * Sends the request.
   *
   * @param throughPeer finds out when the run has ended, if another node sends the request
   * @param answerMemory memory for what is kept of the answer, until {@link #releaseAnswer}
   */
  void send(
      Request toSend, Optional<ForwardedRun> throughPeer, EngineAnswerMemory.Share answerMemory) {
    forwardedRun = throughPeer;
    memory = answerMemory;
    request = toSend;
    toSend.onRequestBegin(begun -> progress = EngineClient.progressOf(begun));
    toSend.onRequestBegin(sendState);
    toSend.send(this);
  }

  /** Local address of the connection on which the request was sent; empty while it was not. */
  String connection() {
    return sendState.connection();
  }

  /** Head of the engine's answer; null before it has arrived. */
  EngineAnswerHead head() {
    return head;
  }

  /** Headers of the engine's answer; null before they have arrived. */
  HttpFields headers() {
    return headers;
  }

  /** The body received so far of an answer that is relayed only when complete. */
  byte[] bufferedBody() {
    return buffer.toByteArray();
  }

  /** Drops what is kept of the answer, since nobody needs it any more. */
  void releaseAnswer() {
    EngineAnswerMemory.Share kept = memory;
    if (kept != null) {
      kept.release();
      buffer = new ByteArrayOutputStream(0);
    }
  }

  /** Whether no part of an answer has been relayed and the attempt has not ended. */
  boolean waiting() {
    return state.waiting();
  }

  /** How long the engine may take to show any sign of an answer. */
  AttemptTimeout timeout() {
    return timeout;
  }

  /** Whether any byte of the request may have reached the engine. */
  boolean maybeSent() {
    return sendState.maybeSent();
  }

  /**
   * Whether any byte of the request may have reached the engine, or still may: another thread may
   * be about to send a request that is aborted, until the HTTP client has reported its end.
   */
  boolean mayReachEngine() {
    return request != null && (maybeSent() || !callEnded);
  }

  /** The outcome of the attempt right after {@link #cancel} has ended it. */
  AttemptOutcome outcomeOfCancel() {
    return mayReachEngine() ? AttemptOutcome.WITHDRAWN : AttemptOutcome.NOT_SENT;
  }

  /** How it is known that the engine no longer works on the request. */
  RunEnd runEnd() {
    return maybeSent() ? runEnd : RunEnd.NOT_SENT;
  }

  /** How it is known that the engine's answer has ended. */
  AnswerEnd answerEnd() {
    return answerEnd;
  }

  /** Whether the attempt has ended. */
  boolean ended() {
    return state.ended();
  }

  /**
   * Whether {@link #cancel} ended the attempt, so that it posts no event about its end; call on the
   * dispatch thread.
   */
  boolean cancelled() {
    return cancelled;
  }

  /** Ends the attempt and aborts its request; false when it had ended already. */
  boolean cancel(String why) {
    if (state.end() == AttemptState.Phase.ENDED) {
      return false;
    }
    abort(why);
    return true;
  }

  /**
   * Gives the attempt up, unless part of an answer has been relayed; false when it was not ended by
   * this call. Its failure is posted once the request has ended, which may take a while: the HTTP
   * client aborts behind what one of its threads does for the same answer.
   *
   * @param reason why
   * @param executor aborts the request, since the end may be posted on the thread that aborts
   */
  boolean giveUp(StuckReason reason, Executor executor) {
    givenUpFor = reason;
    if (!state.endIfWaiting()) {
      givenUpFor = null;
      return false;
    }
    executor.execute(() -> abortRequest(new CancellationException(reason.name())));
    return true;
  }

  /** Aborts the request, if it has not ended; the attempt ends with the failure that follows. */
  void withdraw() {
    if (!ended()) {
      abortRequest(new CancellationException("the caller left"));
    }
  }

  private void abort(String why) {
    cancelled = true;
    abortRequest(new CancellationException(why));
  }

  private void abortRequest(Exception cause) {
    Request sent = request;
    if (sent != null) {
      sent.abort(cause);
    }
  }

  @Override
  public void onHeaders(Response response) {
    headers = response.getHeaders();
    endIsMarked = endIsMarked(response);
    if (forwarder.isPresent()) {
      endIsConfirmedByForwarder =
          headers.contains(ForwardingHeaders.END_UNMARKED, ForwardingHeaders.CONFIRMED_BEFORE_END);
      forwardingResult = ForwardingResult.of(headers);
      headers =
          HttpFields.build(headers)
              .remove(ForwardingHeaders.RESULT)
              .remove(ForwardingHeaders.END_UNMARKED);
    }
    if (forwardingResult != ForwardingResult.ANSWERED) {
      return;
    }
    ownership
        .readOwn(response, headers, call.engine(), exchange.head().requestId())
        .ifPresent(
            read -> {
              head = read;
              streamed = isStampedSuccess() && exchange.envelope().route().streaming();
            });
  }

  /**
   * Whether an answer tells its end. Otherwise it ends with the connection of the engine, which
   * also ends when the engine crashes.
   */
  static boolean endIsMarked(Response response) {
    HttpFields headers = response.getHeaders();
    boolean delimited =
        headers.contains(HttpHeader.CONTENT_LENGTH)
            || headers.contains(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString())
            || HttpStatus.hasNoBody(response.getStatus())
            || HttpMethod.HEAD.is(response.getRequest().getMethod());
    return delimited && !headers.contains(ForwardingHeaders.END_UNMARKED);
  }

  /** Whether the engine's answer told where it ends. */
  boolean endIsMarked() {
    return endIsMarked;
  }

  /** Whether the engine answered a request, other than a prefill, with a success of its own. */
  private boolean isStampedSuccess() {
    return !call.prefillOnly() && head.success() && head.stamped();
  }

  /** Whether any part of an answer body arrived since the last call. */
  boolean takeSignOfLife() {
    boolean since = signOfLife;
    signOfLife = false;
    return since;
  }

  @Override
  public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
    signOfLife = true;
    progress.onBody(chunk.remaining());
    if (ended()) {
      demander.run();
      return;
    }
    if (streamed) {
      relayEvents(chunk.getByteBuffer(), response, demander);
      return;
    }
    bufferOrRelay(chunk.getByteBuffer(), response, demander);
  }

  private void bufferOrRelay(ByteBuffer bytes, Response response, Runnable demander) {
    byte[] copy = BufferUtil.toArray(bytes);
    if (state.relaying()) {
      relay(ByteBuffer.wrap(copy), response, demander);
      return;
    }
    int size = buffer.size() + copy.length;
    boolean room = memory.tryGrowBody(BUFFER_GROWTH * size);
    if (isStampedSuccess() && (!room || size > MAX_WHOLE_ANSWER_BYTES)) {
      relay(takeBufferAnd(copy), response, demander);
    } else if (!room || size > MAX_BUFFERED_BYTES) {
      response.abort(new IllegalStateException("the answer is too long to be kept"));
    } else {
      buffer.writeBytes(copy);
      demander.run();
    }
  }

  private ByteBuffer takeBufferAnd(byte[] more) {
    byte[] all = Arrays.copyOf(buffer.toByteArray(), buffer.size() + more.length);
    System.arraycopy(more, 0, all, all.length - more.length, more.length);
    buffer = new ByteArrayOutputStream(0);
    return ByteBuffer.wrap(all);
  }

  private void relayEvents(ByteBuffer bytes, Response response, Runnable demander) {
    ByteBuffer events = framer.add(bytes);
    if (framer.isEventTooLong() || !memory.tryGrowBody(framer.capacity())) {
      response.abort(new IllegalStateException("the event is too long to be one"));
      return;
    }
    if (!events.hasRemaining()) {
      demander.run();
      return;
    }
    relay(events, response, demander);
  }

  private void relay(ByteBuffer bytes, Response response, Runnable demander) {
    if (!state.relay()) {
      demander.run();
      return;
    }
    if (!beganPosted) {
      beganPosted = true;
      exchange.post(new DispatchEvent.AnswerBegan(exchange, this));
    }
    exchange.beginStreamedAnswer(head.status(), protocol.answerHeaders(headers));
    exchange.writePart(
        bytes,
        framer.lastEventId(),
        Callback.from(demander::run, failure -> response.abort(failure)));
  }

  @Override
  public void onComplete(Result result) {
    callEnded = true;
    runEnd = endOf(result);
    forwardedRun.ifPresent(run -> run.onCallEnded(runEnd()));
    AnswerEnd end = endWithoutCheck(result);
    if (end == AnswerEnd.NOT_CONFIRMED && needsEndCheck()) {
      Duration patience =
          exchange.envelope().route().repeatable()
              ? AnswerEndCheck.PATIENCE_IF_REPEATABLE
              : AnswerEndCheck.PATIENCE;
      endCheck.check(call.engine(), patience, confirmed -> complete(result, confirmed));
    } else {
      complete(result, end);
    }
  }

  /**
   * A request may fail although its answer came to an end: an engine may answer before it reads.
   */
  private AnswerEnd endWithoutCheck(Result result) {
    if (head == null
        || result.getResponseFailure() != null
        || forwardingResult != ForwardingResult.ANSWERED) {
      return AnswerEnd.NONE;
    }
    if (endIsMarked) {
      return AnswerEnd.MARKED;
    }
    return endIsConfirmedByForwarder ? AnswerEnd.CONFIRMED : AnswerEnd.NOT_CONFIRMED;
  }

  /** Whether the answer would be relayed as a whole one, though it may have broken off. */
  private boolean needsEndCheck() {
    return !ended()
        && !call.prefillOnly()
        && !head.saysNotRun()
        && !breaksOffVisibly(state.phase());
  }

  /** Whether a stream ends inside an event, or with its connection before its first event. */
  private boolean breaksOffVisibly(AttemptState.Phase phase) {
    boolean relaying = phase == AttemptState.Phase.RELAYING;
    return streamed && (framer.hasPartialEvent() || !relaying && !endIsMarked);
  }

  private void complete(Result result, AnswerEnd end) {
    answerEnd = end;
    AttemptState.Phase before = state.end();
    if (before == AttemptState.Phase.ENDED) {
      releaseAnswer();
      postGivenUp();
      return;
    }
    Optional<AttemptOutcome> forwardFailure = forwardingResult.failure();
    if (forwardFailure.isPresent()) {
      fail(forwardFailure.get());
      return;
    }
    if (head == null || result.getResponseFailure() != null) {
      fail(outcomeOfFailure(before, result));
      return;
    }
    boolean relevant = !call.prefillOnly() && !head.saysNotRun();
    if (end == AnswerEnd.ENGINE_GONE && relevant) {
      fail(outcomeOfBreak(before));
    } else if (end == AnswerEnd.NOT_CONFIRMED && relevant && !breaksOffVisibly(before)) {
      fail(
          before == AttemptState.Phase.RELAYING
              ? AttemptOutcome.UNCONFIRMED_MIDWAY
              : AttemptOutcome.UNCONFIRMED);
    } else if (before == AttemptState.Phase.RELAYING || streamed) {
      finishRelay(before);
    } else {
      finishBuffered();
    }
  }

  private RunEnd endOf(Result result) {
    if (forwardingResult != ForwardingResult.ANSWERED) {
      return forwardingResult.tellsEnd() ? RunEnd.FORWARDER_ANSWERED : RunEnd.CONNECTION_ENDED;
    }
    return result.isSucceeded() ? RunEnd.ANSWERED : RunEnd.CONNECTION_ENDED;
  }

  private void postGivenUp() {
    StuckReason reason = givenUpFor;
    if (reason != null) {
      fail(maybeSent() ? reason.outcome(timeout) : AttemptOutcome.NOT_SENT);
    }
  }

  private AttemptOutcome outcomeOfFailure(AttemptState.Phase before, Result result) {
    if (result.getRequestFailure() instanceof EngineHeldBackException) {
      return AttemptOutcome.HELD_BACK;
    }
    if (before == AttemptState.Phase.RELAYING) {
      return AttemptOutcome.BROKEN_MIDWAY;
    }
    return maybeSent() ? AttemptOutcome.LOST : AttemptOutcome.NOT_SENT;
  }

  private void finishRelay(AttemptState.Phase before) {
    if (breaksOffVisibly(before)) {
      fail(outcomeOfBreak(before));
      return;
    }
    exchange.beginStreamedAnswer(head.status(), protocol.answerHeaders(headers));
    exchange.endAnswer(this);
  }

  private static AttemptOutcome outcomeOfBreak(AttemptState.Phase before) {
    return before == AttemptState.Phase.RELAYING
        ? AttemptOutcome.BROKEN_MIDWAY
        : AttemptOutcome.LOST;
  }

  private void finishBuffered() {
    if (head.status() == HttpStatus.MISDIRECTED_REQUEST_421) {
      fail(AttemptOutcome.MISDIRECTED);
    } else if (head.notExecuted()) {
      fail(AttemptOutcome.NOT_EXECUTED);
    } else if (call.prefillOnly()) {
      finishPrefill();
    } else if (isStampedSuccess()) {
      exchange.answerWhole(this, head.status(), protocol.answerHeaders(headers), bufferedBody());
    } else {
      fail(isRelayableFailure() ? AttemptOutcome.ANSWERED_FAILURE : AttemptOutcome.LOST);
    }
  }

  /**
   * Whether the answer is a failure that may be relayed: not a success that lacks the engine's
   * stamp, and not a status that promises that the request was not run.
   */
  private boolean isRelayableFailure() {
    return switch (head.status()) {
      case HttpStatus.TOO_MANY_REQUESTS_429,
          HttpStatus.SERVICE_UNAVAILABLE_503,
          HttpStatus.REQUEST_TIMEOUT_408 ->
          false;
      default -> !head.success();
    };
  }

  private void finishPrefill() {
    if (!head.success()) {
      fail(AttemptOutcome.ANSWERED_FAILURE);
      return;
    }
    try {
      String handle = protocol.readPrefillHandle(bufferedBody());
      releaseAnswer();
      exchange.post(new DispatchEvent.Prefilled(exchange, this, handle));
    } catch (MalformedMessageException e) {
      fail(AttemptOutcome.LOST);
    }
  }

  /** A request that goes to no other engine need not wait for the end of its run. */
  private void fail(AttemptOutcome outcome) {
    if (outcome != AttemptOutcome.ANSWERED_FAILURE) {
      releaseAnswer();
    }
    if (!mayGoElsewhere) {
      postFailure(outcome, runEnd);
    } else if (forwardedRun.isPresent()) {
      if (runEnd() == RunEnd.CONNECTION_ENDED) {
        exchange.post(new DispatchEvent.ForwarderFailed(exchange, this));
      }
      forwardedRun.get().whenOver(end -> postFailure(outcome, end));
    } else if (mayBeOrphaned()) {
      orphanedRuns.whenOver(call.engine(), orphanedRun(outcome), end -> postFailure(outcome, end));
    } else {
      postFailure(outcome, runEnd);
    }
  }

  /** Whether a model engine may work on although the connection to it has ended. */
  private boolean mayBeOrphaned() {
    return call.engine().stage() != EngineStage.NONE && runEnd() == RunEnd.CONNECTION_ENDED;
  }

  private OrphanedRun orphanedRun(AttemptOutcome outcome) {
    return new OrphanedRun(
        call.engine().id(),
        exchange.head().requestId(),
        sendState.sentNanos(),
        System.nanoTime(),
        exchange.envelope().answerByNanos(),
        disconnectCause(outcome));
  }

  private DisconnectCause disconnectCause(AttemptOutcome outcome) {
    StuckReason reason = givenUpFor;
    if (reason != null) {
      return reason.engineIsQuiet() ? DisconnectCause.ENGINE_SILENT : DisconnectCause.GIVEN_UP;
    }
    return outcome.isMidway() ? DisconnectCause.BROKEN_MIDWAY : DisconnectCause.LOST;
  }

  private void postFailure(AttemptOutcome outcome, RunEnd end) {
    runEnd = end;
    exchange.post(new DispatchEvent.AttemptFailed(exchange, this, outcome));
  }
}
