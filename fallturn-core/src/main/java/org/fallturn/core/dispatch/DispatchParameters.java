package org.fallturn.core.dispatch;

import java.time.Duration;
import org.fallturn.core.stages.StageParameters;
import org.fallturn.core.waiting.WaitingParameters;

/**
 * Parameters of the dispatcher; the settings of section {@code dispatch} describe their bounds.
 *
 * @param node name of this node
 * @param zone zone of this node
 * @param prefillTokensPerMilli reading speed that is assumed until one is measured, in tokens per
 *     ms
 * @param retryRatio allowed repeats per request, over the whole fleet
 * @param retrySlack allowed repeats beyond the ratio, over the whole fleet
 * @param retryWindow sliding window in which the ratio and the slack hold
 * @param firstStart whether the whole system starts for the first time, so that no earlier process
 *     of this node has repeated anything
 * @param lastResort how long a leaving engine may still be used when its service has no other
 * @param minRetryAfter shortest time after which a refused caller is told to try again
 * @param stages when engines change their stage
 * @param waiting how requests that compete for capacity are handled
 * @param learnsPace whether the pace of each engine is estimated and taken into account
 */
public record DispatchParameters(
    String node,
    String zone,
    double prefillTokensPerMilli,
    double retryRatio,
    double retrySlack,
    Duration retryWindow,
    boolean firstStart,
    Duration lastResort,
    Duration minRetryAfter,
    StageParameters stages,
    WaitingParameters waiting,
    boolean learnsPace) {}
