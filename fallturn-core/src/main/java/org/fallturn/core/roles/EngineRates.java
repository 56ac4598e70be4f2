package org.fallturn.core.roles;

/**
 * What one engine of a pool achieves, as measured by the leader over the pool; the configured
 * initial values until enough was measured.
 *
 * @param prefillTokensPerSecond prompt tokens one prefill engine computes a second when it is busy
 * @param decodeTokensPerSecond output tokens one decode engine generates a second with a full batch
 * @param decodeSlots requests one decode engine generates for at once
 */
public record EngineRates(
    double prefillTokensPerSecond, double decodeTokensPerSecond, int decodeSlots) {}
