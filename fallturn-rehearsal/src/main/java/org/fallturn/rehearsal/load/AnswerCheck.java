package org.fallturn.rehearsal.load;

import org.fallturn.rehearsal.DeterministicTokens;

/** Compares an answer with the expected one as it comes in. Not thread-safe. */
final class AnswerCheck {

  private final String expected;
  private final String expectedFinish;
  private final int tokens;
  private int received;
  private boolean wrong;
  private String finish;

  AnswerCheck(String prompt, int maxTokens) {
    DeterministicTokens answer = new DeterministicTokens(prompt);
    this.tokens = answer.length(maxTokens);
    this.expected = answer.answer(maxTokens);
    this.expectedFinish = tokens < maxTokens ? "stop" : "length";
  }

  void text(String part) {
    if (!expected.startsWith(part, received)) {
      wrong = true;
    }
    received += part.length();
  }

  void finish(String reason) {
    if (reason != null) {
      finish = reason;
    }
  }

  boolean hasText() {
    return received > 0;
  }

  /** Whether what came so far belongs to another answer. */
  boolean isWrong() {
    return wrong;
  }

  boolean isWhole() {
    return !wrong && received == expected.length() && expectedFinish.equals(finish);
  }

  int tokens() {
    return tokens;
  }

  String progress() {
    return received + " of " + expected.length() + " characters, finish " + finish;
  }
}
