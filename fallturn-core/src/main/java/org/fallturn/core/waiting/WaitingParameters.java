package org.fallturn.core.waiting;

/**
 * Which decisions on competing requests are made; each may be turned off on its own.
 *
 * @param evenFill whether application requests are divided over the engines together with those
 *     that the fleet sends unheard; else each goes to the engine that seems emptiest
 * @param waitForRoom whether application requests wait at this node while engines have no room
 * @param refuseForeseen whether prompts that are foreseen to begin after their caller has left are
 *     refused at once
 * @param cacheRoom whether room in the engines' KV caches is counted
 * @param lateYields whether prompts that cannot be in time go behind those of lower ranks that can,
 *     while they have time to spare
 * @param maxWaitingBytes memory for the bodies of what waits
 */
public record WaitingParameters(
    boolean evenFill,
    boolean waitForRoom,
    boolean refuseForeseen,
    boolean cacheRoom,
    boolean lateYields,
    long maxWaitingBytes) {

  private static final long SOME_BYTES = 1 << 20;

  /** All decisions are made. */
  public static final WaitingParameters ALL =
      new WaitingParameters(true, true, true, true, true, SOME_BYTES);
}
