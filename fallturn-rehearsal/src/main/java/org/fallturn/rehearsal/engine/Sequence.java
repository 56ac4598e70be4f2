package org.fallturn.rehearsal.engine;

import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.Urgency;

/**
 * One request in an engine's batch. Not thread-safe; owned by the {@link BatchScheduler} it is in.
 */
final class Sequence implements Comparable<Sequence> {

  private final RequestId requestId;
  private final Urgency priority;
  private final long arrival;
  private final int promptTokens;
  private final int startOffset;
  private final int targetTokens;
  private int promptLeft;
  private int generated;
  private boolean justComputedPrompt;

  /**
   * A sequence that has not run yet.
   *
   * @param arrival rising with each request; breaks ties of priority
   * @param promptTokens context tokens before the first token this sequence generates
   * @param promptLeft of them, those still to be computed; at least 1 for a prefill
   * @param startOffset tokens of the answer that are generated already
   * @param targetTokens tokens of the whole answer; 0 for a prefill alone
   */
  Sequence(
      RequestId requestId,
      Urgency priority,
      long arrival,
      int promptTokens,
      int promptLeft,
      int startOffset,
      int targetTokens) {
    this.requestId = requestId;
    this.priority = priority;
    this.arrival = arrival;
    this.promptTokens = promptTokens;
    this.promptLeft = promptLeft;
    this.startOffset = startOffset;
    this.generated = startOffset;
    this.targetTokens = targetTokens;
  }

  RequestId requestId() {
    return requestId;
  }

  Urgency priority() {
    return priority;
  }

  int promptLeft() {
    return promptLeft;
  }

  int generated() {
    return generated;
  }

  boolean isPrefillOnly() {
    return targetTokens == 0;
  }

  /** Whether the latest step computed the last of the prompt. */
  boolean hasJustComputedPrompt() {
    return justComputedPrompt;
  }

  boolean isDone() {
    return promptLeft == 0 && generated >= targetTokens;
  }

  int contextTokens() {
    return promptTokens - promptLeft + generated - startOffset;
  }

  /** Computes prompt tokens; the step that computes the last one also generates a token. */
  void prefill(int tokens) {
    promptLeft -= tokens;
    justComputedPrompt = promptLeft == 0;
    if (promptLeft == 0 && !isPrefillOnly()) {
      generated++;
    }
  }

  void generateOne() {
    justComputedPrompt = false;
    generated++;
  }

  /** Higher priority first, then earlier arrival. */
  @Override
  public int compareTo(Sequence other) {
    int byPriority = other.priority.compareTo(priority);
    return byPriority != 0 ? byPriority : Long.compare(arrival, other.arrival);
  }
}
