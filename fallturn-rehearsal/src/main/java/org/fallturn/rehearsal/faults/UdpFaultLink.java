package org.fallturn.rehearsal.faults;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;

/**
 * One UDP port that forwards to a target, one way: gossip answers go to the sender's own advertised
 * address, which has a link of its own. At most {@link #MAX_WAITING} datagrams wait for their
 * delay; beyond it they are lost. One thread receives.
 */
final class UdpFaultLink implements AutoCloseable {

  private static final int MAX_DATAGRAM_BYTES = 65_507;
  private static final int MAX_WAITING = 4_096;

  private final String name;
  private final FaultTable faults;
  private final DatagramSocket socket;
  private final Random random;
  private final ScheduledThreadPoolExecutor delays;
  private volatile NetworkAddress target;
  private byte[] heldBack;

  UdpFaultLink(
      String name, NetworkAddress listen, NetworkAddress target, FaultTable faults, long seed)
      throws IOException {
    this.name = name;
    this.target = target;
    this.faults = faults;
    this.random = new Random(seed);
    this.socket = new DatagramSocket(new InetSocketAddress(listen.host(), listen.port()));
    this.delays = new ScheduledThreadPoolExecutor(1, FaultThreads::unstarted);
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
      } catch (IOException e) {
        continue;
      }
      byte[] content = Arrays.copyOf(packet.getData(), packet.getLength());
      forward(content, faults.of(name, packet.getAddress().getHostAddress()));
    }
  }

  private void forward(byte[] content, LinkFaults now) {
    if (now.cut() || now.holdForward() || random.nextDouble() < now.loss()) {
      return;
    }
    if (heldBack == null && random.nextDouble() < now.reordering()) {
      heldBack = content;
      return;
    }
    send(content, now);
    if (random.nextDouble() < now.duplication()) {
      send(content, now);
    }
    if (heldBack != null) {
      byte[] late = heldBack;
      heldBack = null;
      send(late, now);
    }
  }

  private void send(byte[] content, LinkFaults now) {
    if (now.delayMillis() == 0) {
      sendNow(content);
    } else if (delays.getQueue().size() < MAX_WAITING) {
      try {
        delays.schedule(() -> sendNow(content), now.delayMillis(), TimeUnit.MILLISECONDS);
      } catch (RejectedExecutionException e) {
        // The link is closed, so the datagram is lost like any other on its way.
        return;
      }
    }
  }

  private void sendNow(byte[] content) {
    NetworkAddress to = target;
    try {
      socket.send(
          new DatagramPacket(content, content.length, new InetSocketAddress(to.host(), to.port())));
    } catch (IOException e) {
      // A datagram that cannot be sent is a lost datagram.
      return;
    }
  }

  @Override
  public void close() {
    delays.shutdownNow();
    socket.close();
  }
}
