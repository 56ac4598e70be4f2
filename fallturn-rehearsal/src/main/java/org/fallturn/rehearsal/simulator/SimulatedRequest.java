package org.fallturn.rehearsal.simulator;

import org.fallturn.core.domain.RequestId;
import org.fallturn.rehearsal.workload.TimedRequest;

/** One request on its way through the fleet. Not thread-safe. */
final class SimulatedRequest {
  final TimedRequest timed;
  final RequestId id;
  final long deadlineNanos;
  int attempt;
  int generatedTokens;
  boolean ended;
  SimulatedEngine prefill;
  SimulatedEngine decode;

  /** Step of the decode engine at which the answer is complete. */
  long finishStep;

  /** Step of the decode engine at which this attempt began to generate. */
  long startStep;

  /** Whether the step that computed the prompt also generated the first token here. */
  boolean hasFirstToken;

  /** Prompt tokens the present engine still has to compute. */
  int promptLeft;

  /** Order among requests of equal urgency at the present engine. */
  long engineSequence;

  SimulatedRequest(TimedRequest timed, long deadlineNanos) {
    this.timed = timed;
    this.id = new RequestId("r" + timed.index());
    this.deadlineNanos = deadlineNanos;
  }

  int outputLeft() {
    return timed.outputTokens() - generatedTokens;
  }

  /** Tokens whose KV cache an engine needs before it can go on. */
  int contextTokens() {
    return timed.promptTokens() + generatedTokens;
  }
}
