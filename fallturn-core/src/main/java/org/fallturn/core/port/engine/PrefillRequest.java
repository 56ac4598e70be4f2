package org.fallturn.core.port.engine;

import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.Urgency;

/**
 * Ask a prefill engine to compute a prompt's KV cache and keep it for export, {@code POST
 * /v1/prefill}. Repeating it is harmless.
 *
 * @param requestId the caller's request
 * @param cacheScope prompts of different scopes never share cache
 * @param model the model; an engine with another one loaded refuses
 * @param adapter adapter name, or empty
 * @param prompt the text
 * @param priority the engine serves higher constants first
 */
public record PrefillRequest(
    RequestId requestId,
    String cacheScope,
    ModelName model,
    String adapter,
    String prompt,
    Urgency priority) {}
