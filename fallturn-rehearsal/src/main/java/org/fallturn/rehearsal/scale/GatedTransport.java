package org.fallturn.rehearsal.scale;

import java.io.IOException;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.gossip.GossipTransport;
import org.fallturn.node.gossip.UdpSocket;

/** A real UDP port that sends nothing to a changing set of addresses. */
final class GatedTransport implements GossipTransport {

  private final GossipTransport socket;
  private final Supplier<Set<NetworkAddress>> blocked;

  private GatedTransport(GossipTransport socket, Supplier<Set<NetworkAddress>> blocked) {
    this.socket = socket;
    this.blocked = blocked;
  }

  static GossipTransport.Opener opener(Supplier<Set<NetworkAddress>> blocked) {
    return (String name, NetworkAddress listen, BiConsumer<byte[], NetworkAddress> receive) ->
        new GatedTransport(new UdpSocket(name, listen, receive), blocked);
  }

  @Override
  public NetworkAddress address() {
    return socket.address();
  }

  @Override
  public void start() {
    socket.start();
  }

  @Override
  public void send(byte[] datagram, NetworkAddress to) {
    if (!blocked.get().contains(to)) {
      socket.send(datagram, to);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
