package org.fallturn.rehearsal.fleet;

import java.util.Optional;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.machines.Machine;

/** Entries of the platform's machine list for the machines of a rehearsed fleet. */
public final class FleetMachines {

  /** Region of every machine. */
  public static final RegionName REGION = new RegionName("local");

  /** Zone of every machine. */
  public static final ZoneName ZONE = new ZoneName("zone-1");

  private FleetMachines() {}

  /** A live engine. */
  public static Machine engine(String id, NetworkAddress address) {
    return new Machine(
        id,
        Machine.Kind.ENGINE,
        REGION,
        ZONE,
        address,
        Optional.empty(),
        Optional.of(new ModelName(FleetConfiguration.MODEL)),
        Optional.empty(),
        Machine.State.LIVE);
  }

  /** A live application back end of a service. */
  public static Machine application(String id, String service, NetworkAddress address) {
    return new Machine(
        id,
        Machine.Kind.APPLICATION,
        REGION,
        ZONE,
        address,
        Optional.empty(),
        Optional.empty(),
        Optional.of(new ServiceName(service)),
        Machine.State.LIVE);
  }

  /** A live node. */
  public static Machine node(String id, NetworkAddress peers, NetworkAddress gossip) {
    return new Machine(
        id,
        Machine.Kind.NODE,
        REGION,
        ZONE,
        peers,
        Optional.of(gossip),
        Optional.empty(),
        Optional.empty(),
        Machine.State.LIVE);
  }

  /** The same machine, about to be stopped. */
  public static Machine leaving(Machine machine) {
    return new Machine(
        machine.id(),
        machine.kind(),
        machine.region(),
        machine.zone(),
        machine.address(),
        machine.gossipAddress(),
        machine.model(),
        machine.service(),
        Machine.State.LEAVING);
  }
}
