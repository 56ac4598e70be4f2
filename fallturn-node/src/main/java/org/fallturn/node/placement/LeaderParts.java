package org.fallturn.node.placement;

import java.util.function.Function;
import java.util.function.Supplier;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.EngineOrderService;
import org.fallturn.core.placement.PlacementParameters;
import org.fallturn.core.placement.PoolDigestPublisher;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.core.roles.RolePolicy;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.settings.PlacementSettings;

/**
 * What the duty of the pool leaders works with.
 *
 * @param self this node
 * @param peerAddress its peer port, known once it listens
 * @param client for questions to engines
 * @param machines the machine list
 * @param configuration the configuration in force
 * @param orders the way to order engines
 * @param rolePolicies makes the role policy of a pool
 * @param digests where digests go
 * @param parameters of the scheduler
 * @param settings of this node
 */
public record LeaderParts(
    NodeId self,
    Supplier<NetworkAddress> peerAddress,
    JsonHttpClient client,
    Supplier<MachineList> machines,
    Supplier<ConfigurationImage> configuration,
    EngineOrderService orders,
    Function<PoolId, RolePolicy> rolePolicies,
    PoolDigestPublisher digests,
    PlacementParameters parameters,
    PlacementSettings settings) {}
