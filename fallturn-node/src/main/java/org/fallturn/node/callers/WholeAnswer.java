package org.fallturn.node.callers;

import java.util.List;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.port.engine.TokenChunk.Finish;

/** An answer in one piece, kept until it is whole. Its size is bounded by the token limit. */
final class WholeAnswer implements AnswerSink {

  private final CallerRequest caller;
  private final CompletionFormat format;
  private final CallerAnswers answers;
  private final int promptTokens;
  private final StringBuilder text = new StringBuilder();
  private int tokenCount;
  private boolean abandoned;
  private Finish finish = Finish.STOP;

  WholeAnswer(
      CallerRequest caller, CompletionFormat format, CallerAnswers answers, int promptTokens) {
    this.caller = caller;
    this.format = format;
    this.answers = answers;
    this.promptTokens = promptTokens;
  }

  @Override
  public void append(List<String> tokens, Finish end) {
    tokens.forEach(text::append);
    tokenCount += tokens.size();
    finish = end;
  }

  @Override
  public void flush() {
    // Nothing goes out before the answer is whole.
  }

  @Override
  public boolean isFull() {
    return false;
  }

  @Override
  public void complete() {
    if (abandoned) {
      return;
    }
    byte[] body = format.whole(text.toString(), finish, promptTokens, tokenCount);
    answers.jsonBytes(caller, body);
  }

  @Override
  public void fail(FallturnException error) {
    if (abandoned) {
      return;
    }
    answers.error(caller, error);
  }

  @Override
  public void abandon() {
    if (abandoned) {
      return;
    }
    abandoned = true;
    caller.callback().failed(new CallerGoneException());
  }
}
