package org.fallturn.rehearsal.emulator;

/**
 * A row of the emulated store.
 *
 * @param table its table
 * @param key its key
 * @param value its text; null when it was removed
 * @param version when it was last written
 */
public record EmulatedRow(String table, String key, String value, long version) {}
