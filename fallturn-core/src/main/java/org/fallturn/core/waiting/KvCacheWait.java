package org.fallturn.core.waiting;

/**
 * Estimates how long a request waits for free space in an engine's KV cache.
 *
 * <p>This matters for prompts that are long compared with the cache. Running requests hold memory
 * for their prompt and answer, and this memory cannot be freed early: an engine that gets more
 * requests evicts some that it has begun and reads their prompts again. Only as many requests hold
 * memory as the engine runs at once. Blocks cached from earlier prompts can be evicted and are
 * ignored here. Stateless.
 */
public final class KvCacheWait {

  /**
   * Usable share of the cache, since answers may be longer than expected and blocks are not quite
   * full.
   */
  private static final double USABLE_SHARE = 0.95;

  private KvCacheWait() {}

  /**
   * Returns the time in ms until enough running requests have ended.
   *
   * @param present number of requests at the engine
   * @param presentTokens tokens that they hold when all of them run, as far as known
   * @param slots number of requests that the engine runs at once
   * @param tokens tokens that the new request would hold
   * @param capacity number of tokens that the cache can hold
   * @param stayMillis time in ms that a request runs
   */
  public static double waitMillis(
      int present, double presentTokens, int slots, long tokens, long capacity, double stayMillis) {
    if (present <= 0 || presentTokens <= 0) {
      return 0;
    }
    double held = presentTokens * Math.min(1, (double) slots / present);
    double excess = held + tokens - USABLE_SHARE * capacity;
    return excess <= 0 ? 0 : Math.min(1, excess / held) * stayMillis;
  }
}
