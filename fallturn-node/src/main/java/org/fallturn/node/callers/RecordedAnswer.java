package org.fallturn.node.callers;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.idempotency.StoredAnswer;
import org.fallturn.core.port.engine.TokenChunk.Finish;
import org.fallturn.node.idempotency.HeldClaim;

/**
 * Passes an answer on to the caller and keeps it for a retry with the same idempotency key. The
 * request goes on when its caller is gone, because the caller may come back for the answer.
 */
final class RecordedAnswer implements AnswerSink {

  private static final int OK = 200;

  private final AnswerSink caller;
  private final HeldClaim claim;
  private final CompletionFormat format;
  private final boolean streamed;
  private final int promptTokens;
  private final StringBuilder text = new StringBuilder();
  private int tokenCount;
  private Finish finish = Finish.STOP;

  RecordedAnswer(
      AnswerSink caller,
      HeldClaim claim,
      CompletionFormat format,
      boolean streamed,
      int promptTokens) {
    this.caller = caller;
    this.claim = claim;
    this.format = format;
    this.streamed = streamed;
    this.promptTokens = promptTokens;
  }

  @Override
  public void append(List<String> tokens, Finish end) {
    tokens.forEach(text::append);
    tokenCount += tokens.size();
    finish = end;
    caller.append(tokens, end);
  }

  @Override
  public void flush() {
    caller.flush();
  }

  @Override
  public boolean isFull() {
    return caller.isFull();
  }

  @Override
  public void complete() {
    claim.finished(stored());
    caller.complete();
  }

  private StoredAnswer stored() {
    if (!streamed) {
      byte[] body = format.whole(text.toString(), finish, promptTokens, tokenCount);
      return new StoredAnswer(OK, "application/json", body);
    }
    ByteArrayOutputStream events = new ByteArrayOutputStream();
    format.appendEvent(events, List.of(text.toString()), finish);
    CompletionFormat.appendDone(events);
    return new StoredAnswer(OK, "text/event-stream", events.toByteArray());
  }

  @Override
  public void fail(FallturnException error) {
    claim.failed(error.kind().outcome());
    caller.fail(error);
  }

  @Override
  public boolean survivesCaller() {
    return true;
  }

  @Override
  public void abandon() {
    caller.abandon();
  }
}
