/**
 * The engines' published protocol: HTTP with JSON bodies; generated tokens come as server-sent
 * events. Paths: {@code POST /v1/prefill}, {@code POST /v1/generate}, {@code POST /v1/cancel},
 * {@code GET /v1/kv/{handle}}, {@code POST /v1/orders}, {@code GET /v1/state}, {@code GET
 * /v1/load}, {@code GET /v1/cache-events?after=N}. A refusal is status 409 or 503 with an {@link
 * org.fallturn.core.port.engine.EngineRefusal}: the work was not started.
 */
package org.fallturn.core.port.engine;
