package org.fallturn.rehearsal.membership;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.gossip.GossipTransport;
import org.fallturn.node.gossip.UdpSocket;

/** A real UDP port that sends only what a filter lets pass, which may change while it is open. */
final class FilteredTransport implements GossipTransport {

  private final GossipTransport socket;
  private final Predicate<NetworkAddress> passes;

  private FilteredTransport(GossipTransport socket, Predicate<NetworkAddress> passes) {
    this.socket = socket;
    this.passes = passes;
  }

  /** Opens ports that send nothing to a changing set of addresses. */
  static GossipTransport.Opener blocking(Supplier<Set<NetworkAddress>> blocked) {
    return opener(to -> !blocked.get().contains(to));
  }

  /** Opens ports that lose a share, 0 to 1, of what is sent through them. */
  static GossipTransport.Opener losing(DoubleSupplier lossRate) {
    return opener(to -> ThreadLocalRandom.current().nextDouble() >= lossRate.getAsDouble());
  }

  private static GossipTransport.Opener opener(Predicate<NetworkAddress> passes) {
    return (String name, NetworkAddress listen, BiConsumer<byte[], NetworkAddress> receive) ->
        new FilteredTransport(new UdpSocket(name, listen, receive), passes);
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
    if (passes.test(to)) {
      socket.send(datagram, to);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
