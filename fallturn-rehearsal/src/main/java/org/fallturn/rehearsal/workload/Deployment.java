package org.fallturn.rehearsal.workload;

import java.util.List;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;

/**
 * The fleet a workload is sized for.
 *
 * @param region its region
 * @param zones its zones
 * @param models models served; each gets an equal part of the engines and of the requests
 * @param engines model engines, spread evenly over zones and models
 * @param nodes fallturn nodes
 * @param zoneLatencyMicros one way between two zones
 * @param clientLatencyMicros one way between a client and a node
 * @param roleChangeWeight requests within deadline the operator would give up to avoid a change
 * @param minPrefill engines of a pool that must keep the prefill role
 * @param minDecode engines of a pool that must keep the decode role
 * @param maxChanging engines of a pool that may change at once
 * @param roleChangeSeconds how long an idle engine takes to change its role
 */
public record Deployment(
    RegionName region,
    List<ZoneName> zones,
    List<ModelName> models,
    int engines,
    int nodes,
    long zoneLatencyMicros,
    long clientLatencyMicros,
    double roleChangeWeight,
    int minPrefill,
    int minDecode,
    int maxChanging,
    NumberRange roleChangeSeconds) {
  /** Private copies of the lists. */
  public Deployment {
    zones = List.copyOf(zones);
    models = List.copyOf(models);
  }
}
