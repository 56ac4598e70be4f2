package org.fallturn.node.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.dispatch.AttemptOutcome;
import org.fallturn.core.dispatch.AttemptTimeout;
import org.fallturn.node.json.MalformedMessageException;

/**
 * One request to one engine and the relay of its answer. Ends exactly once: by an answer, by a
 * failure, or by {@link #cancel}; whoever wins the state decides, and later news is dropped.
 * Callbacks come on client threads, one at a time; cancel comes on the dispatch thread.
 */
final class EngineAttempt
    implements Response.HeadersListener, Response.AsyncContentListener, Response.CompleteListener {

  /** Answers up to this size are passed on only once they are whole. */
  private static final int MAX_WHOLE_ANSWER_BYTES = 256 * 1024;

  private enum State {
    /** Nothing of an answer has been passed on. */
    WAITING,
    /** The answer's beginning has been passed on. */
    RELAYING,
    /** Over; nothing that still comes counts. */
    ENDED
  }

  private final Exchange exchange;
  private final EngineCall call;
  private final EngineProtocol protocol;
  private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);
  private final EventFramer framer = new EventFramer();
  private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
  private volatile Request request;
  private volatile boolean maybeSent;
  private final AttemptTimeout timeout;
  private volatile EngineAnswerHead head;
  private volatile HttpFields headers;
  private volatile boolean streamed;
  private volatile boolean signOfLife;
  private boolean cancelled;
  private boolean told;

  EngineAttempt(
      Exchange exchange, EngineCall call, EngineProtocol protocol, AttemptTimeout timeout) {
    this.exchange = exchange;
    this.call = call;
    this.protocol = protocol;
    this.timeout = timeout;
  }

  EngineCall call() {
    return call;
  }

  /** Sends the request. */
  void send(Request toSend) {
    request = toSend;
    toSend.onRequestBegin(begun -> maybeSent = begun.getAbortCause() == null);
    toSend.send(this);
  }

  /** Head of the engine's answer, when one came. */
  EngineAnswerHead head() {
    return head;
  }

  /** Headers of the engine's answer, when one came. */
  HttpFields headers() {
    return headers;
  }

  /** The body so far, of an answer that is passed on only when whole. */
  byte[] wholeBody() {
    return whole.toByteArray();
  }

  /** Whether nothing of an answer has come. */
  boolean waiting() {
    return state.get() == State.WAITING;
  }

  /** How long it may go without a sign of an answer. */
  AttemptTimeout timeout() {
    return timeout;
  }

  /** Whether any byte may have reached the engine. */
  boolean maybeSent() {
    return maybeSent;
  }

  /** Whether it has ended. */
  boolean ended() {
    return state.get() == State.ENDED;
  }

  /**
   * Whether it was ended by {@link #cancel}, so that it tells of no end; on the dispatch thread.
   */
  boolean cancelled() {
    return cancelled;
  }

  /** Ends it and its connection; false when it had ended already. */
  boolean cancel(String why) {
    State before = state.getAndSet(State.ENDED);
    if (before == State.ENDED) {
      return false;
    }
    cancelled = true;
    Request sent = request;
    if (sent != null) {
      sent.abort(new CancellationException(why));
    }
    return true;
  }

  @Override
  public void onHeaders(Response response) {
    headers = response.getHeaders();
    head = protocol.readHead(response.getStatus(), headers);
    if (!head.belongsTo(exchange.head().requestId())) {
      response.abort(new IllegalStateException("the answer belongs to another request"));
      return;
    }
    streamed = goodAnswer() && exchange.envelope().route().streaming();
  }

  private boolean goodAnswer() {
    return !call.prefillOnly() && head.success() && head.signed();
  }

  /** Whether anything came from the engine since the last call. */
  boolean takeSignOfLife() {
    boolean since = signOfLife;
    signOfLife = false;
    return since;
  }

  @Override
  public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
    signOfLife = true;
    if (ended()) {
      demander.run();
      return;
    }
    if (streamed) {
      relayEvents(chunk.getByteBuffer(), response, demander);
      return;
    }
    keep(chunk.getByteBuffer(), response, demander);
  }

  private void keep(ByteBuffer bytes, Response response, Runnable demander) {
    byte[] copy = BufferUtil.toArray(bytes);
    if (state.get() == State.RELAYING) {
      relay(ByteBuffer.wrap(copy), response, demander);
      return;
    }
    whole.writeBytes(copy);
    if (whole.size() > MAX_WHOLE_ANSWER_BYTES && goodAnswer()) {
      ByteBuffer all = ByteBuffer.wrap(whole.toByteArray());
      whole.reset();
      relay(all, response, demander);
      return;
    }
    demander.run();
  }

  private void relayEvents(ByteBuffer bytes, Response response, Runnable demander) {
    ByteBuffer events = framer.add(bytes);
    if (!events.hasRemaining()) {
      demander.run();
      return;
    }
    relay(events, response, demander);
  }

  private void relay(ByteBuffer bytes, Response response, Runnable demander) {
    if (!mayRelay()) {
      demander.run();
      return;
    }
    if (!told) {
      told = true;
      exchange.tell(new DispatchEvent.Began(exchange, this));
    }
    exchange.beginParts(head.status(), protocol.answerHeaders(headers));
    exchange.writePart(
        bytes,
        framer.lastEventId(),
        Callback.from(demander::run, failure -> response.abort(failure)));
  }

  /** Whether this attempt gives the answer; once it does, no other may begin one. */
  private boolean mayRelay() {
    return state.compareAndSet(State.WAITING, State.RELAYING) || state.get() == State.RELAYING;
  }

  @Override
  public void onComplete(Result result) {
    State before = state.getAndSet(State.ENDED);
    if (before == State.ENDED) {
      return;
    }
    if (head == null || result.getResponseFailure() != null) {
      fail(outcomeOfFailure(before, result));
      return;
    }
    if (before == State.RELAYING || streamed) {
      finishRelay(before);
      return;
    }
    finishWhole();
  }

  private AttemptOutcome outcomeOfFailure(State before, Result result) {
    if (result.getRequestFailure() instanceof EngineHeldBackException) {
      return AttemptOutcome.HELD_BACK;
    }
    if (before == State.RELAYING) {
      return AttemptOutcome.BROKEN_MIDWAY;
    }
    return maybeSent ? AttemptOutcome.LOST : AttemptOutcome.NOT_SENT;
  }

  private void finishRelay(State before) {
    if (streamed && framer.hasPartialEvent()) {
      fail(before == State.RELAYING ? AttemptOutcome.BROKEN_MIDWAY : AttemptOutcome.LOST);
      return;
    }
    exchange.beginParts(head.status(), protocol.answerHeaders(headers));
    exchange.endAnswer(this);
  }

  private void finishWhole() {
    if (head.status() == HttpStatus.MISDIRECTED_REQUEST_421) {
      fail(AttemptOutcome.MISDIRECTED);
    } else if (head.notExecuted()) {
      fail(AttemptOutcome.NOT_EXECUTED);
    } else if (call.prefillOnly()) {
      finishPrefill();
    } else if (goodAnswer()) {
      exchange.answerWhole(this, head.status(), protocol.answerHeaders(headers), wholeBody());
    } else {
      fail(isOwnFailure() ? AttemptOutcome.ANSWERED_FAILURE : AttemptOutcome.LOST);
    }
  }

  /**
   * A failure that may be passed on: not a success that lacks the mark, and not a status that
   * promises that the request was not run.
   */
  private boolean isOwnFailure() {
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
      String handle = protocol.readPrefillHandle(wholeBody());
      exchange.tell(new DispatchEvent.Prefilled(exchange, this, handle));
    } catch (MalformedMessageException e) {
      fail(AttemptOutcome.LOST);
    }
  }

  private void fail(AttemptOutcome outcome) {
    exchange.tell(new DispatchEvent.AttemptFailed(exchange, this, outcome));
  }
}
