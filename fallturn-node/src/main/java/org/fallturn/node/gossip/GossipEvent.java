package org.fallturn.node.gossip;

import java.util.concurrent.CountDownLatch;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.membership.GossipMessage;
import org.fallturn.core.placement.PoolDigest;
import org.fallturn.core.port.machines.MachineList;

/** What the gossip duty is told. */
sealed interface GossipEvent {

  /** An authentic message came. */
  record Received(GossipMessage message, NetworkAddress source) implements GossipEvent {}

  /** A pool that this node leads has a new digest. */
  record PublishDigest(PoolDigest digest) implements GossipEvent {}

  /** This node has a configuration version in force. */
  record VersionInForce(long version) implements GossipEvent {}

  /** This node has a machine list. */
  record NewMachineList(MachineList machines) implements GossipEvent {}

  /** This node will stop; the latch is released when the others have been told. */
  record Leaving(CountDownLatch told) implements GossipEvent {}

  /** This node stops now; the latch is released when the others have been told. */
  record Stopped(CountDownLatch told) implements GossipEvent {}
}
