package org.fallturn.node.gateway;

import java.util.function.Consumer;
import org.fallturn.core.stages.OrderLease;

/**
 * What every duty has that one node carries out for all.
 *
 * @param lease the right to do so, one for all duties
 * @param node name of this node
 * @param events the dispatch duty, which is told of each step
 * @param log the log of decisions
 */
record DutyContext(
    OrderLease lease, String node, Consumer<DispatchEvent> events, DecisionLog log) {}
