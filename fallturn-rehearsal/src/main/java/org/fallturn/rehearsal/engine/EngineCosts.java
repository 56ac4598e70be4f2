package org.fallturn.rehearsal.engine;

/**
 * What work costs on one engine. Immutable.
 *
 * @param tokenBudgetPerStep most tokens (prompt plus generated) computed in one step
 * @param maxRunning most requests in the batch
 * @param stepBaseMicros fixed time of a step
 * @param prefillMicrosPerToken time of one prompt token in a step
 * @param decodeMicrosPerSequence time of one sequence that generates a token in a step
 * @param contextNanosPerToken time of one token of context that a generating sequence attends to
 * @param kvBytesPerToken size of the KV cache of one token
 * @param kvBytesPerSecond bandwidth of KV transfer between engines
 * @param kvLatencyMicros fixed time of one KV transfer
 * @param roleChangeMillis time a role change takes
 */
public record EngineCosts(
    int tokenBudgetPerStep,
    int maxRunning,
    double stepBaseMicros,
    double prefillMicrosPerToken,
    double decodeMicrosPerSequence,
    double contextNanosPerToken,
    long kvBytesPerToken,
    double kvBytesPerSecond,
    double kvLatencyMicros,
    long roleChangeMillis) {

  /**
   * An engine of the size of an 8-billion-parameter model on one accelerator: about 16,000 prompt
   * tokens a second, about 100 tokens a second for one stream, about 2,500 for a full batch.
   */
  public static final EngineCosts DEFAULT =
      new EngineCosts(2048, 64, 8_000, 60, 150, 80, 131_072, 20e9, 500, 4_000);

  /** Rejects costs that would let a step do nothing or take no time. */
  public EngineCosts {
    requirePositive(tokenBudgetPerStep, "tokenBudgetPerStep");
    requirePositive(maxRunning, "maxRunning");
    requirePositive(stepBaseMicros, "stepBaseMicros");
    requirePositive(kvBytesPerSecond, "kvBytesPerSecond");
    requireNotNegative(prefillMicrosPerToken, "prefillMicrosPerToken");
    requireNotNegative(decodeMicrosPerSequence, "decodeMicrosPerSequence");
    requireNotNegative(contextNanosPerToken, "contextNanosPerToken");
    requireNotNegative(kvBytesPerToken, "kvBytesPerToken");
    requireNotNegative(kvLatencyMicros, "kvLatencyMicros");
    requireNotNegative(roleChangeMillis, "roleChangeMillis");
    if (maxRunning > tokenBudgetPerStep) {
      throw new IllegalArgumentException("maxRunning must not be above tokenBudgetPerStep");
    }
  }

  private static void requirePositive(double value, String name) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(name + " must be above 0, but is " + value);
    }
  }

  private static void requireNotNegative(double value, String name) {
    if (!(value >= 0)) {
      throw new IllegalArgumentException(name + " must not be negative, but is " + value);
    }
  }
}
