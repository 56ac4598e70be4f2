package org.fallturn.core.port.engine;

import org.fallturn.core.domain.EngineId;

/**
 * An engine's load as it was some time ago, {@code GET /v1/load}. It lags and may be stale.
 *
 * @param engine the engine
 * @param incarnation its incarnation when the report was made
 * @param ageMillis how old the report is by the engine's own clock
 * @param runningRequests requests in the batch
 * @param waitingRequests requests not yet in the batch
 * @param waitingPromptTokens prompt tokens still to be computed
 * @param runningContextTokens context tokens held by running requests
 * @param generatedTokens tokens generated since start
 * @param prefilledTokens prompt tokens computed since start, without cache hits
 */
public record LoadReport(
    EngineId engine,
    long incarnation,
    long ageMillis,
    int runningRequests,
    int waitingRequests,
    long waitingPromptTokens,
    long runningContextTokens,
    long generatedTokens,
    long prefilledTokens) {}
