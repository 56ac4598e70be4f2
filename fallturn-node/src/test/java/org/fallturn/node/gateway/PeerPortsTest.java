package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.Test;

/**
 * Guards against a gateway that may take any free port and yet fails to start, because the number
 * that it got for UDP is in use for TCP.
 */
class PeerPortsTest {

  private static final String HOST = "127.0.0.1";

  /** Number of TCP ports held: enough that the first port that UDP gets is often among them. */
  private static final int HELD = 6_000;

  private static void close(PeerPorts ports) throws IOException {
    ports.datagrams().close();
    ports.requests().close();
  }

  @Test
  void bindsTheSamePortForUdpAndTcp() throws Exception {
    PeerPorts ports = PeerPorts.bind(new NetworkAddress(HOST, 0));
    try {
      InetSocketAddress requests = (InetSocketAddress) ports.requests().getLocalAddress();
      assertThat(requests.getPort()).isEqualTo(ports.address().port()).isPositive();
    } finally {
      close(ports);
    }
  }

  @Test
  void triesAnotherPortWhenOneIsInUseForTcp() throws Exception {
    List<ServerSocketChannel> held = new ArrayList<>();
    try {
      for (int count = 0; count < HELD; count++) {
        held.add(ServerSocketChannel.open().bind(new InetSocketAddress(HOST, 0)));
      }
      for (int count = 0; count < 20; count++) {
        close(PeerPorts.bind(new NetworkAddress(HOST, 0)));
      }
    } finally {
      for (ServerSocketChannel channel : held) {
        channel.close();
      }
    }
  }

  @Test
  void failsWhenTheGivenPortIsInUse() throws Exception {
    try (ServerSocket taken = new ServerSocket()) {
      taken.bind(new InetSocketAddress(HOST, 0));
      NetworkAddress address = new NetworkAddress(HOST, taken.getLocalPort());
      assertThatThrownBy(() -> PeerPorts.bind(address)).isInstanceOf(BindException.class);
    }
  }
}
