package org.fallturn.core.waiting;

/**
 * Switches for decisions about requests that compete for capacity. Each decision can be turned off
 * separately.
 *
 * @param evenFill whether application requests are divided over the engines by {@link
 *     WaterFilling}, counting those that other nodes have sent but not yet reported; otherwise each
 *     goes to the engine that seems least loaded
 * @param waitForRoom whether application requests wait at this node while the engines have no free
 *     capacity
 * @param refuseForeseen whether prompts are refused at once when they are predicted to start after
 *     their caller has left
 * @param cacheRoom whether free space in the engines' KV caches is taken into account
 * @param lateYields whether prompts that cannot meet their target time go behind prompts of lower
 *     ranks that can, if they are still predicted to start well before their own caller leaves
 * @param maxWaitingBytes memory in bytes for the bodies of waiting requests
 */
public record WaitingParameters(
    boolean evenFill,
    boolean waitForRoom,
    boolean refuseForeseen,
    boolean cacheRoom,
    boolean lateYields,
    long maxWaitingBytes) {

  private static final long DEFAULT_WAITING_BYTES = 1 << 20;

  /** All decisions are turned on. */
  public static final WaitingParameters ALL =
      new WaitingParameters(true, true, true, true, true, DEFAULT_WAITING_BYTES);
}
