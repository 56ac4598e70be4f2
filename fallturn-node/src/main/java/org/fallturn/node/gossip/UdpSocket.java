package org.fallturn.node.gossip;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.function.BiConsumer;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.duty.DutyLoop;
import org.fallturn.node.duty.FaultListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A UDP port with one thread that receives. Any thread may send; a datagram that the system does
 * not take at once is dropped, as on the network.
 */
public final class UdpSocket implements GossipTransport {

  private static final Logger LOG = LoggerFactory.getLogger(UdpSocket.class);

  /**
   * The longest datagram that IPv4 carries; a buffer that cut one short would make it unreadable.
   */
  private static final int MAX_DATAGRAM_BYTES = 65_507;

  private final DatagramChannel channel;
  private final NetworkAddress address;
  private final DutyLoop receiver;

  /**
   * Binds the port.
   *
   * @param receive called on the receiving thread with each datagram and its source
   */
  public UdpSocket(String name, NetworkAddress listen, BiConsumer<byte[], NetworkAddress> receive)
      throws IOException {
    this(name, bind(listen), receive);
  }

  /**
   * Takes a port that is bound already.
   *
   * @param receive called on the receiving thread with each datagram and its source
   */
  public UdpSocket(String name, DatagramChannel channel, BiConsumer<byte[], NetworkAddress> receive)
      throws IOException {
    this.channel = channel;
    InetSocketAddress bound = (InetSocketAddress) channel.getLocalAddress();
    address = new NetworkAddress(bound.getAddress().getHostAddress(), bound.getPort());
    receiver = new DutyLoop(name, () -> receiveUntilClosed(receive));
  }

  private static DatagramChannel bind(NetworkAddress listen) throws IOException {
    DatagramChannel channel = DatagramChannel.open();
    channel.bind(socketAddress(listen));
    return channel;
  }

  @Override
  public NetworkAddress address() {
    return address;
  }

  @Override
  public void start() {
    start(FaultListener.LOG_ONLY);
  }

  /**
   * Begins to receive.
   *
   * @param faults hears of what the duty does not catch
   */
  public void start(FaultListener faults) {
    receiver.start(faults);
  }

  @Override
  public void send(byte[] datagram, NetworkAddress to) {
    try {
      channel.send(ByteBuffer.wrap(datagram), socketAddress(to));
    } catch (IOException e) {
      LOG.debug("gossip: Could not send to {}: {}.", to, e.toString());
    }
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }

  private void receiveUntilClosed(BiConsumer<byte[], NetworkAddress> receive) {
    ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
    while (channel.isOpen()) {
      try {
        buffer.clear();
        InetSocketAddress source = (InetSocketAddress) channel.receive(buffer);
        buffer.flip();
        byte[] datagram = new byte[buffer.remaining()];
        buffer.get(datagram);
        receive.accept(
            datagram, new NetworkAddress(source.getAddress().getHostAddress(), source.getPort()));
      } catch (ClosedChannelException e) {
        return;
      } catch (IOException e) {
        LOG.warn("gossip: Could not receive: {}.", e.toString());
      } catch (RuntimeException e) {
        receiver.onCaught(e);
      }
    }
  }

  private static InetSocketAddress socketAddress(NetworkAddress address)
      throws UnknownHostException {
    return new InetSocketAddress(InetAddress.getByName(address.host()), address.port());
  }
}
