package org.fallturn.node.placement;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.Supplier;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.placement.PlacementParameters;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.settings.PlacementSettings;

/**
 * What the placement client works with.
 *
 * @param self this node
 * @param region its region
 * @param zone its zone
 * @param client for messages to leaders and questions to engines
 * @param local the leaders' duty of this node; its pools are asked without a message
 * @param directory who leads
 * @param machines the machine list
 * @param configuration the configuration in force
 * @param parameters of placement
 * @param settings of this node
 * @param metrics where counters go
 */
public record ClientParts(
    NodeId self,
    RegionName region,
    ZoneName zone,
    JsonHttpClient client,
    PlacementModule local,
    LeaderDirectory directory,
    Supplier<MachineList> machines,
    Supplier<ConfigurationImage> configuration,
    PlacementParameters parameters,
    PlacementSettings settings,
    MeterRegistry metrics) {}
