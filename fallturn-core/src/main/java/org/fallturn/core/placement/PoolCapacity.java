package org.fallturn.core.placement;

/**
 * What a pool could take on now; the part of a {@link PoolDigest} that the scheduler knows.
 *
 * @param prefillEngines engines that prefill now
 * @param decodeEngines engines that decode now
 * @param freePrefillTokens prompt tokens the pool could take on without delaying a deadline
 * @param freeDecodeSlots requests the pool could decode at once beside those it has
 * @param queued requests waiting
 */
public record PoolCapacity(
    int prefillEngines,
    int decodeEngines,
    long freePrefillTokens,
    int freeDecodeSlots,
    int queued) {}
