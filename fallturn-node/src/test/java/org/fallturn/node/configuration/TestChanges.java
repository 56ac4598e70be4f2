package org.fallturn.node.configuration;

import java.time.Instant;
import java.util.List;
import org.fallturn.core.configuration.ConfigurationDelta;

/** Changes for tests. */
final class TestChanges {

  private TestChanges() {}

  static ConfigurationDelta delta(long version) {
    return new ConfigurationDelta(
        version, "attempt-" + version, "ana", Instant.EPOCH, "a statement", List.of(), List.of());
  }
}
