package org.fallturn.core.roles;

/**
 * What a pool's requests ask of its engines.
 *
 * @param prefillEngines engines that prompts would keep busy
 * @param decodeEngines engines that answers would keep busy
 * @param requestsPerSecond requests arriving
 */
record Demand(double prefillEngines, double decodeEngines, double requestsPerSecond) {}
