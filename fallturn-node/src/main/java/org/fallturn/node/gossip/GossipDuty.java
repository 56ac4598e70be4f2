package org.fallturn.node.gossip;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.membership.GossipCounters;
import org.fallturn.core.membership.GossipSeed;
import org.fallturn.core.membership.GossipState;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.membership.OutgoingMessage;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.duty.DutyHandler;

/**
 * Runs membership: feeds it messages and the clock, sends what it wants sent, and publishes the
 * view. Lives on the gossip duty's thread; the view and the counters may be read by any thread.
 */
final class GossipDuty implements DutyHandler<GossipEvent> {

  private static final long VIEW_REFRESH_NANOS = 1_000_000_000L;

  private final GossipState state;
  private final ReplayGuard replayGuard;
  private final DatagramCodec codec;
  private final GossipTransport socket;
  private final AtomicLong replayed = new AtomicLong();
  private volatile MembershipView view;
  private volatile GossipCounters counters;
  private volatile boolean bridge;
  private long publishedModifications = -1;
  private long publishedAtNanos;

  GossipDuty(NodeId self, GossipState state, DatagramCodec codec, GossipTransport socket) {
    this.state = state;
    this.codec = codec;
    this.socket = socket;
    this.replayGuard = new ReplayGuard(self);
    publishView(System.nanoTime());
  }

  MembershipView view() {
    return view;
  }

  boolean isBridge() {
    return bridge;
  }

  GossipCounters counters() {
    return counters;
  }

  long replayed() {
    return replayed.get();
  }

  @Override
  public void onEvent(GossipEvent event) {
    long now = System.nanoTime();
    if (event instanceof GossipEvent.Received received) {
      onReceived(received, now);
    } else if (event instanceof GossipEvent.PublishDigest publish) {
      state.publish(publish.digest(), now);
    } else if (event instanceof GossipEvent.VersionInForce version) {
      state.configurationVersion(version.version());
    } else if (event instanceof GossipEvent.NewMachineList list) {
      onMachineList(list.machines());
    } else if (event instanceof GossipEvent.Leaving leaving) {
      send(state.announceLeaving(now));
      leaving.told().countDown();
    } else if (event instanceof GossipEvent.Stopped stopped) {
      send(state.announceStopped(now));
      stopped.told().countDown();
    }
  }

  @Override
  public void onTick() {
    long now = System.nanoTime();
    send(state.onTick(now));
    publishView(now);
  }

  private void onReceived(GossipEvent.Received received, long nowNanos) {
    if (!replayGuard.accept(received.message())) {
      replayed.incrementAndGet();
      return;
    }
    send(state.onMessage(received.message(), received.source(), nowNanos));
  }

  private void onMachineList(MachineList machines) {
    List<GossipSeed> seeds =
        machines.machines().stream()
            .filter(machine -> machine.kind() == Machine.Kind.NODE)
            .filter(machine -> machine.gossipAddress().isPresent())
            .map(GossipDuty::seed)
            .toList();
    state.seeds(seeds);
    state.machineListVersion(machines.version());
  }

  private static GossipSeed seed(Machine machine) {
    return new GossipSeed(
        new NodeId(machine.id()), machine.zone(), machine.gossipAddress().orElseThrow());
  }

  private void send(List<OutgoingMessage> messages) {
    for (OutgoingMessage outgoing : messages) {
      socket.send(codec.encode(outgoing.message()), outgoing.address());
    }
  }

  private void publishView(long nowNanos) {
    counters = state.counters();
    bridge = state.isBridge();
    boolean changed = state.modifications() != publishedModifications;
    if (view != null && !changed && nowNanos - publishedAtNanos < VIEW_REFRESH_NANOS) {
      return;
    }
    publishedModifications = state.modifications();
    publishedAtNanos = nowNanos;
    view = state.view(nowNanos);
  }
}
