package org.fallturn.core.routing;

import org.fallturn.core.domain.NetworkAddress;

/**
 * One incarnation of an engine or application back end as the directory tells it.
 *
 * @param id new at every start
 * @param service the service it serves
 * @param address where it listens
 * @param zone zone it stands in
 * @param slots requests it runs at once
 * @param leaving whether it takes nothing new
 * @param stage its present part
 */
public record ServingEngine(
    String id,
    String service,
    NetworkAddress address,
    String zone,
    int slots,
    boolean leaving,
    EngineStage stage) {}
