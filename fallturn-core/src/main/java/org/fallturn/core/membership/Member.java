package org.fallturn.core.membership;

import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;

/**
 * A node as another node sees it.
 *
 * @param node its id; a restarted process has a new one
 * @param region its region
 * @param zone its zone
 * @param peerAddress TCP port for peer messages
 * @param gossipAddress UDP port for gossip
 * @param incarnation raised by the member itself to refute a suspicion
 * @param state what is believed of it
 * @param configurationVersion the configuration version it has in force
 */
public record Member(
    NodeId node,
    RegionName region,
    ZoneName zone,
    NetworkAddress peerAddress,
    NetworkAddress gossipAddress,
    long incarnation,
    State state,
    long configurationVersion) {

  /** What is believed of a member. */
  public enum State {
    /** It answers. */
    ALIVE,
    /** It has not answered of late; it may refute this. */
    SUSPECT,
    /** It has announced that it will stop; it takes no new callers and no new leases. */
    LEAVING,
    /** It is gone for good. */
    DEAD
  }
}
