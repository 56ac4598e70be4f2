package org.fallturn.core.placement;

import java.time.Duration;

/**
 * Parameters of placement, the same for every pool.
 *
 * @param maxEnginesPerPool a zone's engines of one model are split into pools of at most this many
 * @param maxMergedEngines a region's engines of one model form one pool over all its zones while
 *     they are at most this many
 * @param maxQueued requests that may wait at one leader
 * @param maxPrefillBacklog work a prefill engine is given ahead; more waits at the leader, where
 *     urgency and fairness still decide
 * @param decodeSlots requests a decode engine generates for at once
 * @param urgentReserve share of a pool's decode slots that work below HIGH leaves free
 * @param prefillTokensPerSecond speed of a prefill engine until it was measured
 * @param firstTokenInterval time between tokens of a stream that has its engine for itself, until
 *     it was measured
 * @param fullBatchInterval time between tokens of a stream in a full batch, until it was measured
 * @param kvTransfer time to hand a prompt's KV cache to another engine
 * @param farTransfer time this takes longer between zones
 * @param localPrefillMaxTokens a decode engine computes up to this many uncached prompt tokens
 *     itself when that is sooner
 * @param estimateFactor part of a predicted time that a refusal for the deadline counts on; below 1
 *     gives requests the benefit of the doubt
 * @param engineAbsentRetry advice to callers when no engine serves
 * @param kvHold time a drained engine is left alone after its last request so that KV cache still
 *     on its way is fetched
 * @param leakedAfter a stream that its idle engine does not know is given up after this long
 * @param maxBlocksPerEngine cached blocks remembered for each engine
 */
public record PlacementParameters(
    int maxEnginesPerPool,
    int maxMergedEngines,
    int maxQueued,
    Duration maxPrefillBacklog,
    int decodeSlots,
    double urgentReserve,
    double prefillTokensPerSecond,
    Duration firstTokenInterval,
    Duration fullBatchInterval,
    Duration kvTransfer,
    Duration farTransfer,
    int localPrefillMaxTokens,
    double estimateFactor,
    Duration engineAbsentRetry,
    Duration kvHold,
    Duration leakedAfter,
    int maxBlocksPerEngine) {

  private static final int DEFAULT_MAX_ENGINES = 64;
  private static final int DEFAULT_MAX_MERGED = 16;
  private static final int DEFAULT_MAX_QUEUED = 2048;
  private static final int DEFAULT_DECODE_SLOTS = 64;
  private static final double DEFAULT_URGENT_RESERVE = 0.05;
  private static final double DEFAULT_PREFILL_RATE = 10_000;
  private static final int DEFAULT_LOCAL_PREFILL = 48;
  private static final double DEFAULT_ESTIMATE_FACTOR = 0.9;
  private static final int DEFAULT_MAX_BLOCKS = 4096;

  /** Parameters for a fleet whose engines are not known yet. */
  public static PlacementParameters defaults() {
    return new PlacementParameters(
        DEFAULT_MAX_ENGINES,
        DEFAULT_MAX_MERGED,
        DEFAULT_MAX_QUEUED,
        Duration.ofMillis(400),
        DEFAULT_DECODE_SLOTS,
        DEFAULT_URGENT_RESERVE,
        DEFAULT_PREFILL_RATE,
        Duration.ofMillis(12),
        Duration.ofMillis(30),
        Duration.ofMillis(15),
        Duration.ofMillis(5),
        DEFAULT_LOCAL_PREFILL,
        DEFAULT_ESTIMATE_FACTOR,
        Duration.ofSeconds(2),
        Duration.ofSeconds(1),
        Duration.ofSeconds(3),
        DEFAULT_MAX_BLOCKS);
  }
}
