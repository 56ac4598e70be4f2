package org.fallturn.rehearsal.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Continuous batching as a pure state machine: each step gives every generating sequence one token
 * and spends the rest of the token budget on prompts, higher priority first. A waiting sequence of
 * higher priority takes the place of the lowest running one, which keeps its progress and waits.
 * Not thread-safe; takes no time by itself, the caller lets {@link Step#work} pass by the cost
 * model.
 */
final class BatchScheduler {

  private final int tokenBudget;
  private final int maxRunning;
  private final TreeSet<Sequence> running = new TreeSet<>();
  private final TreeSet<Sequence> waiting = new TreeSet<>();

  /** Prompt tokens of one sequence in one step. */
  private record PrefillPart(Sequence sequence, int tokens) {}

  /** One step under way. */
  static final class Step {
    private final List<Sequence> decoding = new ArrayList<>();
    private final List<PrefillPart> prefilling = new ArrayList<>();
    private int prefillTokens;
    private long contextTokens;

    StepWork work() {
      return new StepWork(prefillTokens, decoding.size(), contextTokens);
    }

    int prefillTokens() {
      return prefillTokens;
    }
  }

  BatchScheduler(EngineCosts costs) {
    this.tokenBudget = costs.tokenBudgetPerStep();
    this.maxRunning = costs.maxRunning();
  }

  void add(Sequence sequence) {
    waiting.add(sequence);
  }

  /** Takes out one sequence; the step under way ignores it from now on. */
  void remove(Sequence sequence) {
    running.remove(sequence);
    waiting.remove(sequence);
  }

  /** Takes out everything. */
  void clear() {
    running.clear();
    waiting.clear();
  }

  boolean isIdle() {
    return running.isEmpty() && waiting.isEmpty();
  }

  int runningCount() {
    return running.size();
  }

  int waitingCount() {
    return waiting.size();
  }

  long waitingPromptTokens() {
    long tokens = 0;
    for (Sequence sequence : running) {
      tokens += sequence.promptLeft();
    }
    for (Sequence sequence : waiting) {
      tokens += sequence.promptLeft();
    }
    return tokens;
  }

  long runningContextTokens() {
    return running.stream().mapToLong(Sequence::contextTokens).sum();
  }

  /** Fills the batch and says what the next step computes. Not called when idle. */
  Step formStep() {
    fillBatch();
    Step step = new Step();
    for (Sequence sequence : running) {
      if (sequence.promptLeft() == 0) {
        step.decoding.add(sequence);
        step.contextTokens += sequence.contextTokens();
      }
    }
    int left = tokenBudget - step.decoding.size();
    for (Sequence sequence : running) {
      int tokens = Math.min(left, sequence.promptLeft());
      if (tokens > 0) {
        step.prefilling.add(new PrefillPart(sequence, tokens));
        step.prefillTokens += tokens;
        left -= tokens;
      }
    }
    return step;
  }

  /**
   * Applies a step that took its time.
   *
   * @return the sequences that made progress visible outside: they generated a token or are done
   */
  List<Sequence> finishStep(Step step) {
    List<Sequence> progressed = new ArrayList<>();
    for (Sequence sequence : step.decoding) {
      if (running.contains(sequence)) {
        sequence.generateOne();
        progressed.add(sequence);
      }
    }
    for (PrefillPart part : step.prefilling) {
      if (running.contains(part.sequence())) {
        part.sequence().prefill(part.tokens());
        if (part.sequence().promptLeft() == 0) {
          progressed.add(part.sequence());
        }
      }
    }
    progressed.stream().filter(Sequence::isDone).forEach(running::remove);
    return progressed;
  }

  private void fillBatch() {
    while (!waiting.isEmpty() && running.size() < maxRunning) {
      running.add(waiting.pollFirst());
    }
    while (!waiting.isEmpty() && precedes(waiting.first(), running.last())) {
      Sequence displaced = running.pollLast();
      running.add(waiting.pollFirst());
      waiting.add(displaced);
    }
  }

  private static boolean precedes(Sequence candidate, Sequence lowest) {
    return candidate.priority().compareTo(lowest.priority()) > 0;
  }
}
