package org.fallturn.core.port.machines;

import java.util.Optional;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.ZoneName;

/**
 * One entry of the platform's machine list.
 *
 * @param id name of the machine; for engines the engine id, for nodes the node id
 * @param kind what runs there
 * @param region its region
 * @param zone its zone
 * @param address for engines and applications their HTTP port, for nodes their peer port
 * @param gossipAddress for nodes their UDP port
 * @param model for engines the model they are meant for
 * @param service for applications the service they run
 * @param state live or leaving
 */
public record Machine(
    String id,
    Kind kind,
    RegionName region,
    ZoneName zone,
    NetworkAddress address,
    Optional<NetworkAddress> gossipAddress,
    Optional<ModelName> model,
    Optional<ServiceName> service,
    State state) {

  /** What runs on a machine. */
  public enum Kind {
    /** A fallturn node. */
    NODE,
    /** A model engine. */
    ENGINE,
    /** An application back end. */
    APPLICATION
  }

  /** What the platform believes of a machine. */
  public enum State {
    /** Running, as far as the platform knows. */
    LIVE,
    /** About to be stopped; it must get no new work. */
    LEAVING
  }
}
