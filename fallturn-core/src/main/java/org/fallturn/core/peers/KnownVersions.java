package org.fallturn.core.peers;

import java.util.Map;

/**
 * What a message tells of the followed tables.
 *
 * @param era the era of the store to which the versions belong; 0 from a node that knows none or is
 *     of a build that sends none
 * @param versions the newest version of each followed table that any node has seen, and the latest
 *     confirmations
 */
public record KnownVersions(long era, Map<String, Long> versions) {

  private static final KnownVersions NONE = new KnownVersions(0, Map.of());

  /** Copies the versions. */
  public KnownVersions {
    versions = Map.copyOf(versions);
  }

  /** Returns what a message tells that says nothing of tables. */
  public static KnownVersions none() {
    return NONE;
  }
}
