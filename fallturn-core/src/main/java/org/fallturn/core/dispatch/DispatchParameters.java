package org.fallturn.core.dispatch;

import java.time.Duration;
import org.fallturn.core.stages.StageParameters;
import org.fallturn.core.waiting.WaitingParameters;

/**
 * Constants of the dispatcher; see the settings of section {@code dispatch} for their bounds.
 *
 * @param node name of this node
 * @param zone zone of this node
 * @param prefillTokensPerMilli reading speed that is assumed until one is measured
 * @param retryRatio repeats a request, over the whole fleet
 * @param retrySlack repeats beyond the ratio, over the whole fleet
 * @param retryWindow window of the two
 * @param lastResort how long a leaving engine may be used when its service has no other
 * @param minRetryAfter shortest advice on when to come back
 * @param stages when engines change their stage
 * @param waiting what is decided on requests that compete for room
 * @param learnsPace whether the pace of each engine is learned and gone by
 */
public record DispatchParameters(
    String node,
    String zone,
    double prefillTokensPerMilli,
    double retryRatio,
    double retrySlack,
    Duration retryWindow,
    Duration lastResort,
    Duration minRetryAfter,
    StageParameters stages,
    WaitingParameters waiting,
    boolean learnsPace) {}
