package org.fallturn.node.lease;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.port.machines.Machine;

/**
 * A pool of this node's region with its engines as the machine list has them.
 *
 * @param pool the pool
 * @param engines its engines
 */
public record PoolEngines(PoolId pool, List<Machine> engines) {

  /** A private copy of the engines. */
  public PoolEngines {
    engines = List.copyOf(engines);
  }

  /** Where each engine listens. */
  Map<EngineId, NetworkAddress> addresses() {
    return engines.stream()
        .collect(
            Collectors.toMap(
                engine -> new EngineId(engine.id()), Machine::address, (first, second) -> second));
  }
}
