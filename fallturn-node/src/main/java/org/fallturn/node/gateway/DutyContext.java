package org.fallturn.node.gateway;

import java.util.function.Consumer;
import org.fallturn.core.stages.OrderLease;

/**
 * What all duties share that only one node carries out for the whole fleet.
 *
 * @param lease permits its holder to carry out these duties; one lease serves all of them
 * @param node name of this node
 * @param events hands an event of each step to the dispatch duty
 * @param log the log of decisions
 */
record DutyContext(
    OrderLease lease, String node, Consumer<DispatchEvent> events, DecisionLog log) {}
