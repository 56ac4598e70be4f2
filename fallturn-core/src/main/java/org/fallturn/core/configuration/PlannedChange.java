package org.fallturn.core.configuration;

import java.util.List;

/**
 * What a change would put and remove, worked out against one image.
 *
 * @param puts records put, replacing those of the same kind and key
 * @param removals records removed
 */
public record PlannedChange(List<ConfigurationRecord> puts, List<RecordKey> removals) {

  /** Private copies of the lists. */
  public PlannedChange {
    puts = List.copyOf(puts);
    removals = List.copyOf(removals);
  }

  /** Whether it changes nothing. */
  public boolean isEmpty() {
    return puts.isEmpty() && removals.isEmpty();
  }
}
