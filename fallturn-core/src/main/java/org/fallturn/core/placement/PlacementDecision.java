package org.fallturn.core.placement;

import org.fallturn.core.domain.RequestId;

/**
 * The answer to one placement request.
 *
 * @param requestId the request
 * @param attempt the attempt it answers
 * @param answer placed or refused
 */
public record PlacementDecision(RequestId requestId, int attempt, PlacementAnswer answer) {}
