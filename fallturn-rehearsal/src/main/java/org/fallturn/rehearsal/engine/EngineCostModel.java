package org.fallturn.rehearsal.engine;

/**
 * Times of an engine's work as a pure function of its {@link EngineCosts}. The engine stand-in and
 * the simulator share it, so that both mean the same engine. Holds no state; any thread may call.
 */
public final class EngineCostModel {

  private static final double NANOS_PER_MICRO = 1e3;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  private final EngineCosts costs;

  /** A model with the given costs. */
  public EngineCostModel(EngineCosts costs) {
    this.costs = costs;
  }

  /** The costs it computes with. */
  public EngineCosts costs() {
    return costs;
  }

  /** Time of one step. */
  public long stepNanos(StepWork work) {
    double micros =
        costs.stepBaseMicros()
            + work.prefillTokens() * costs.prefillMicrosPerToken()
            + work.decodeSequences() * costs.decodeMicrosPerSequence();
    double nanos = micros * NANOS_PER_MICRO + work.contextTokens() * costs.contextNanosPerToken();
    return Math.round(nanos);
  }

  /** Time to compute a prompt alone on the engine, in as many steps as the budget needs. */
  public long prefillNanos(int promptTokens) {
    long total = 0;
    for (int left = promptTokens; left > 0; left -= costs.tokenBudgetPerStep()) {
      int inStep = Math.min(left, costs.tokenBudgetPerStep());
      total += stepNanos(new StepWork(inStep, 0, 0));
    }
    return total;
  }

  /** Time between two tokens of a stream in a batch of sequences of a mean context. */
  public long decodeStepNanos(int sequences, long meanContextTokens) {
    return stepNanos(new StepWork(0, sequences, sequences * meanContextTokens));
  }

  /** Prompt tokens a second when an engine does nothing but prefill. */
  public double prefillTokensPerSecond() {
    long nanos = stepNanos(new StepWork(costs.tokenBudgetPerStep(), 0, 0));
    return costs.tokenBudgetPerStep() * NANOS_PER_SECOND / nanos;
  }

  /** Generated tokens a second when an engine decodes with a batch of this size. */
  public double decodeTokensPerSecond(int sequences, long meanContextTokens) {
    return sequences * NANOS_PER_SECOND / decodeStepNanos(sequences, meanContextTokens);
  }

  /** Size of the KV cache of a context. */
  public long kvBytes(int contextTokens) {
    return contextTokens * costs.kvBytesPerToken();
  }

  /** Time to move a KV cache between engines. */
  public long kvTransferNanos(long kvBytes) {
    double transfer = kvBytes * NANOS_PER_SECOND / costs.kvBytesPerSecond();
    return Math.round(costs.kvLatencyMicros() * NANOS_PER_MICRO + transfer);
  }

  /** Time that a role change takes the engine away. */
  public long roleChangeNanos() {
    return Math.round(costs.roleChangeMillis() * NANOS_PER_MILLI);
  }
}
