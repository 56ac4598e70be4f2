package org.fallturn.core.port.engine;

import org.fallturn.core.domain.RequestId;

/**
 * The KV cache of a prompt is ready for export.
 *
 * @param requestId echo of the request
 * @param kvHandle names the KV cache on this engine, for a bounded time
 * @param promptTokens tokens in the prompt
 * @param cachedTokens of them, how many were found in the prefix cache
 * @param kvBytes size of the KV cache in bytes
 */
public record PrefillAnswer(
    RequestId requestId, String kvHandle, int promptTokens, int cachedTokens, long kvBytes) {}
