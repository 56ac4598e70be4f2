package org.fallturn.rehearsal.scale;

import java.util.ArrayList;
import java.util.List;

/**
 * What the scale experiment runs.
 *
 * @param nodes hollow nodes
 * @param engines hollow engines
 * @param rackNodes hollow nodes that share a process and die together
 * @param realNodes node processes beside them
 * @param realEngines engine stand-ins beside them
 * @param settleSeconds wait after the start
 * @param measureSeconds length of each measurement at rest
 * @param measurements measurements at rest, for the spread
 * @param placementsPerSecond placements asked for in the whole fleet while callers are played
 * @param reportInterval how often a leader reads its engines' load, as the setting's text
 * @param events what is played afterwards
 * @param changes configuration changes of {@link ScaleEvent#CHANGES}
 */
record ScalePlan(
    int nodes,
    int engines,
    int rackNodes,
    int realNodes,
    int realEngines,
    long settleSeconds,
    long measureSeconds,
    int measurements,
    double placementsPerSecond,
    String reportInterval,
    List<ScaleEvent> events,
    int changes) {

  /** A private copy of the events. */
  ScalePlan {
    events = List.copyOf(events);
  }

  private static final int ZONES = 6;
  private static final int ZONES_PER_REGION = 2;

  int zones() {
    return ZONES;
  }

  String zone(int index) {
    return "zone-" + (index + 1);
  }

  String region(int zoneIndex) {
    return "region-" + (zoneIndex / ZONES_PER_REGION + 1);
  }

  /** Names of a zone's nodes, rack by rack. */
  List<List<String>> racksOf(int zone) {
    int count = nodes / ZONES + (zone < nodes % ZONES ? 1 : 0);
    int rackCount = Math.max(1, (count + rackNodes - 1) / rackNodes);
    List<List<String>> racks = new ArrayList<>();
    for (int rack = 0; rack < rackCount; rack++) {
      racks.add(new ArrayList<>());
    }
    for (int index = 0; index < count; index++) {
      racks.get(index % rackCount).add("n" + (zone + 1) + "-" + index);
    }
    return racks;
  }
}
