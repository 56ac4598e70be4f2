package org.fallturn.core.waiting;

/**
 * How long a request waits for room in an engine's KV cache.
 *
 * <p>It answers prompts that are long for the cache: what runs holds its prompt and its answer and
 * cannot give way, so that an engine that is given more evicts what it has begun, and reads it
 * anew. Only as many requests hold memory as the engine runs at once. What is kept of earlier
 * prompts gives way and is no matter here. Pure.
 */
public final class KvCacheWait {

  /** Answers may be longer than expected, and blocks are not quite full. */
  private static final double USED_PART = 0.95;

  private KvCacheWait() {}

  /**
   * Time in ms until enough of what runs has ended.
   *
   * @param present requests that the engine has
   * @param presentTokens tokens that they hold when all run, as far as it is known
   * @param slots requests that it runs at once
   * @param tokens that one more would hold
   * @param capacity tokens that the cache holds
   * @param stayMillis how long a request runs
   */
  public static double waitMillis(
      int present, double presentTokens, int slots, long tokens, long capacity, double stayMillis) {
    if (present <= 0 || presentTokens <= 0) {
      return 0;
    }
    double held = presentTokens * Math.min(1, (double) slots / present);
    double over = held + tokens - USED_PART * capacity;
    return over <= 0 ? 0 : Math.min(1, over / held) * stayMillis;
  }
}
