package org.fallturn.core.port.engine;

import org.fallturn.core.domain.NetworkAddress;

/**
 * Where a decode engine imports the KV cache of a prompt from, {@code GET /v1/kv/{handle}}.
 *
 * @param engine address of the exporting engine
 * @param kvHandle the handle it gave
 */
public record KvSource(NetworkAddress engine, String kvHandle) {}
