package org.fallturn.core.roles;

import org.fallturn.core.domain.Urgency;

/**
 * The waiting requests of one urgency.
 *
 * @param urgency the urgency
 * @param queuedRequests requests waiting for a placement
 * @param queuedPromptTokens their prompt tokens, without what a prefix cache may save
 * @param queuedOutputTokens estimate of their output tokens
 * @param earliestSlackMillis the least time between the predicted finish, were it placed now, and
 *     the deadline; {@link Long#MAX_VALUE} when none waits
 */
public record UrgencyObservation(
    Urgency urgency,
    int queuedRequests,
    long queuedPromptTokens,
    long queuedOutputTokens,
    long earliestSlackMillis) {}
