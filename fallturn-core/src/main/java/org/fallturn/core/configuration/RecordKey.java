package org.fallturn.core.configuration;

/**
 * Names a configuration record.
 *
 * @param type type name as in {@link ConfigurationRecord}'s JSON, for example {@code tenant}
 * @param key its natural key
 */
public record RecordKey(String type, String key) {}
