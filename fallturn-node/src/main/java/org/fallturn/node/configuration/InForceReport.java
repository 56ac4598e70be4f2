package org.fallturn.node.configuration;

import java.util.List;
import org.fallturn.core.domain.ZoneName;

/**
 * On how many nodes a version is in force.
 *
 * @param version the version
 * @param inForce nodes that have it or a newer one
 * @param nodes nodes known, in the zones that answered
 * @param laggards ids of nodes known without it
 * @param missingZones zones of which no node answered
 */
public record InForceReport(
    long version, int inForce, int nodes, List<String> laggards, List<ZoneName> missingZones) {

  /** Whether it is in force on every node known. */
  public boolean isComplete() {
    return inForce == nodes && missingZones.isEmpty();
  }
}
