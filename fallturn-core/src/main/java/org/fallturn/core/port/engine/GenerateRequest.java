package org.fallturn.core.port.engine;

import java.util.Optional;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.Urgency;

/**
 * Ask an engine to generate and stream tokens, {@code POST /v1/generate}. The answer is a stream of
 * server-sent events, each a {@link TokenChunk}.
 *
 * @param requestId the caller's request
 * @param cacheScope prompts of different scopes never share cache
 * @param model the model; an engine with another one loaded refuses
 * @param adapter adapter name, or empty
 * @param prompt the text
 * @param maxTokens the answer ends after this many tokens at the latest, counted from offset 0
 * @param startOffset first token to send; above 0 to resume a broken stream
 * @param priority the engine serves higher constants first
 * @param kvSource where the prompt's KV cache is; when absent or lost the engine computes the
 *     prompt itself
 */
public record GenerateRequest(
    RequestId requestId,
    String cacheScope,
    ModelName model,
    String adapter,
    String prompt,
    int maxTokens,
    int startOffset,
    Urgency priority,
    Optional<KvSource> kvSource) {}
