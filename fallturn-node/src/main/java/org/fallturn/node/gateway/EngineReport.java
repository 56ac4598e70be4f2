package org.fallturn.node.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.fallturn.core.disconnect.EngineWork;
import org.fallturn.core.routing.EngineStage;

/**
 * A model engine's report on itself, which is some hundred ms old when it is read.
 *
 * @param stage its current stage
 * @param busy whether it is executing an order
 * @param sequence number of orders that it has accepted since its start
 * @param bornMillis Unix time of its start in ms; empty when it does not say
 * @param work the requests that it has; empty when it does not name those that it runs
 */
public record EngineReport(
    EngineStage stage,
    boolean busy,
    long sequence,
    OptionalLong bornMillis,
    Optional<EngineWork> work) {}
