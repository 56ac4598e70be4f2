package org.fallturn.rehearsal.faults;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import org.fallturn.core.domain.NetworkAddress;

/**
 * One UDP port that forwards to a target. Each sender gets a socket of its own towards the target,
 * so that answers find their way back; the sockets are bounded, the one opened first goes first.
 * One thread receives on the port, and one on each of those sockets.
 */
final class UdpFaultLink implements AutoCloseable {

  static final int MAX_DATAGRAM_BYTES = 65_507;

  private static final int MAX_SENDERS = 128;

  private final String name;
  private final FaultTable faults;
  private final DatagramSocket socket;
  private final DatagramDelays delays = new DatagramDelays();
  private final Random seeds;
  private final Map<SocketAddress, Sender> senders = new LinkedHashMap<>();
  private volatile NetworkAddress target;

  UdpFaultLink(
      String name, NetworkAddress listen, NetworkAddress target, FaultTable faults, long seed)
      throws IOException {
    this.name = name;
    this.target = target;
    this.faults = faults;
    this.seeds = new Random(seed);
    this.socket = new DatagramSocket(new InetSocketAddress(listen.host(), listen.port()));
    FaultThreads.start("fault-datagrams-" + name, this::receiveAll);
  }

  NetworkAddress address() {
    return new NetworkAddress(socket.getLocalAddress().getHostAddress(), socket.getLocalPort());
  }

  void retarget(NetworkAddress next) {
    target = next;
  }

  private void receiveAll() {
    byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
    while (!socket.isClosed()) {
      DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
      try {
        socket.receive(packet);
        byte[] content = Arrays.copyOf(packet.getData(), packet.getLength());
        sender((InetSocketAddress) packet.getSocketAddress()).forward(content);
      } catch (IOException e) {
        // The port was closed, which ends the loop, or one datagram could not be taken.
        continue;
      }
    }
  }

  private synchronized Sender sender(InetSocketAddress source) throws IOException {
    Sender known = senders.get(source);
    if (known != null) {
      return known;
    }
    if (senders.size() >= MAX_SENDERS) {
      SocketAddress oldest = senders.keySet().iterator().next();
      senders.remove(oldest).close();
    }
    Sender opened = new Sender(source);
    senders.put(source, opened);
    return opened;
  }

  @Override
  public synchronized void close() {
    delays.close();
    socket.close();
    senders.values().forEach(Sender::close);
  }

  /** One sender and the way back to it. */
  private final class Sender {

    private final InetSocketAddress source;
    private final DatagramSocket outgoing = new DatagramSocket(0, socket.getLocalAddress());
    private final DatagramLane there;
    private final DatagramLane back;

    private Sender(InetSocketAddress source) throws IOException {
      this.source = source;
      this.there = new DatagramLane(delays, new Random(seeds.nextLong()), this::sendThere);
      this.back = new DatagramLane(delays, new Random(seeds.nextLong()), this::sendBack);
      FaultThreads.start("fault-answers-" + name, this::receiveAnswers);
    }

    private LinkFaults current() {
      return faults.of(name, source.getAddress().getHostAddress());
    }

    private void forward(byte[] content) {
      LinkFaults now = current();
      there.pass(content, now, now.holdForward());
    }

    private void receiveAnswers() {
      byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
      while (!outgoing.isClosed()) {
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        try {
          outgoing.receive(packet);
        } catch (IOException e) {
          // The socket was closed, which ends the loop, or the target refused a datagram.
          continue;
        }
        LinkFaults now = current();
        byte[] content = Arrays.copyOf(packet.getData(), packet.getLength());
        back.pass(content, now, now.holdBackward());
      }
    }

    private void sendThere(byte[] content) throws IOException {
      NetworkAddress to = target;
      SocketAddress address = new InetSocketAddress(to.host(), to.port());
      outgoing.send(new DatagramPacket(content, content.length, address));
    }

    private void sendBack(byte[] content) throws IOException {
      socket.send(new DatagramPacket(content, content.length, source));
    }

    private void close() {
      outgoing.close();
    }
  }
}
