package org.fallturn.core.configuration;

import java.util.ArrayList;
import java.util.List;

/** Says what other operators changed in the meantime. */
final class ConflictText {

  private static final int MAX_NAMED_RECORDS = 8;

  private ConflictText() {}

  static String of(long newestVersion, List<ConfigurationDelta> deltas) {
    StringBuilder text = new StringBuilder("the configuration is at version " + newestVersion);
    for (ConfigurationDelta delta : deltas) {
      text.append("; version ").append(delta.version());
      text.append(" by ").append(delta.operator());
      text.append(" changed ").append(names(delta));
    }
    return text.append("; nothing of this statement was done").toString();
  }

  private static String names(ConfigurationDelta delta) {
    List<String> names = new ArrayList<>();
    delta.puts().forEach(record -> names.add(RecordKey.of(record).describe()));
    delta.removals().forEach(key -> names.add(key.describe() + " (removed)"));
    if (names.size() <= MAX_NAMED_RECORDS) {
      return String.join(", ", names);
    }
    int others = names.size() - MAX_NAMED_RECORDS;
    return String.join(", ", names.subList(0, MAX_NAMED_RECORDS)) + " and " + others + " more";
  }
}
