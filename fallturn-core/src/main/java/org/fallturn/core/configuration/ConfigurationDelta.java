package org.fallturn.core.configuration;

import java.time.Instant;
import java.util.List;

/**
 * One accepted change: it leads from version {@code version - 1} to {@code version}.
 *
 * @param version the version that is in force after it
 * @param attemptId unique id of the attempt to commit it; settles lost answers
 * @param operator who changed it, for the audit trail
 * @param acceptedAt wall-clock time of the node that committed it, for display only
 * @param statement the operator's text, for the audit trail
 * @param puts records put, replacing those of the same kind and key
 * @param removals records removed
 */
public record ConfigurationDelta(
    long version,
    String attemptId,
    String operator,
    Instant acceptedAt,
    String statement,
    List<ConfigurationRecord> puts,
    List<RecordKey> removals) {

  /** Private copies of the lists. */
  public ConfigurationDelta {
    puts = List.copyOf(puts);
    removals = List.copyOf(removals);
  }
}
