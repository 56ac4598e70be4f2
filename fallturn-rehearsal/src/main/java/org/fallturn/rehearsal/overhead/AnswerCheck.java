package org.fallturn.rehearsal.overhead;

import java.util.concurrent.CompletableFuture;
import org.fallturn.rehearsal.DeterministicTokens;

/** Gathers one answer and compares it with the one that is due. Used by one thread at a time. */
final class AnswerCheck {

  private final String expected;
  private final int tokens;
  private final StringBuilder text = new StringBuilder();
  private long firstNanos;

  AnswerCheck(String prompt, int maxTokens) {
    DeterministicTokens due = new DeterministicTokens(prompt);
    this.expected = due.answer(maxTokens);
    this.tokens = due.length(maxTokens);
  }

  void append(String part) {
    if (text.isEmpty()) {
      firstNanos = System.nanoTime();
    }
    text.append(part);
  }

  /** Completes the future with the timing, or fails it when the answer is not the one due. */
  void end(CompletableFuture<CompletionTiming> result) {
    if (text.toString().equals(expected)) {
      result.complete(new CompletionTiming(firstNanos, System.nanoTime(), tokens));
    } else {
      result.completeExceptionally(new IllegalStateException("wrong answer: " + text));
    }
  }
}
