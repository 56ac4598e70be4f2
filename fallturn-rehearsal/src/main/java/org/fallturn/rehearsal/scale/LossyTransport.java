package org.fallturn.rehearsal.scale;

import java.io.IOException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.gossip.GossipTransport;
import org.fallturn.node.gossip.UdpSocket;

/** A real UDP port that loses a share of what is sent through it. */
final class LossyTransport implements GossipTransport {

  private final GossipTransport socket;
  private final DoubleSupplier lossRate;

  private LossyTransport(GossipTransport socket, DoubleSupplier lossRate) {
    this.socket = socket;
    this.lossRate = lossRate;
  }

  /** Opens ports of one loss rate, which may change while they are open. */
  static GossipTransport.Opener opener(DoubleSupplier lossRate) {
    return (String name, NetworkAddress listen, BiConsumer<byte[], NetworkAddress> receive) ->
        new LossyTransport(new UdpSocket(name, listen, receive), lossRate);
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
    if (ThreadLocalRandom.current().nextDouble() >= lossRate.getAsDouble()) {
      socket.send(datagram, to);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
