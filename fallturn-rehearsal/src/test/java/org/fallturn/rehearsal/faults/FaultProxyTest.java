package org.fallturn.rehearsal.faults;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FaultProxyTest {

  private static final NetworkAddress ANY = new NetworkAddress("127.0.0.1", 0);
  private static final int SILENCE_MILLIS = 300;
  private static final int PATIENCE_MILLIS = 20_000;

  private final FaultProxy proxy = new FaultProxy(1);
  private ServerSocket echo;
  private NetworkAddress address;

  @BeforeEach
  void start() throws IOException {
    echo = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    FaultThreads.start("echo", this::echoAll);
    address = proxy.openTcp("echo", ANY, new NetworkAddress("127.0.0.1", echo.getLocalPort()));
  }

  @AfterEach
  void stop() throws IOException {
    proxy.close();
    echo.close();
  }

  @Test
  void forwardsBothWays() throws IOException {
    try (Socket caller = connect("127.0.0.1")) {
      assertThat(exchange(caller, "hello")).isEqualTo("hello");
    }
  }

  @Test
  void heldAnswersArriveAfterHealing() throws IOException {
    try (Socket caller = connect("127.0.0.1")) {
      proxy.set("echo", LinkFaults.ANSWERS_HELD);
      send(caller, "hello");
      caller.setSoTimeout(SILENCE_MILLIS);
      assertThatThrownBy(() -> caller.getInputStream().read())
          .isInstanceOf(SocketTimeoutException.class);

      proxy.heal();
      caller.setSoTimeout(PATIENCE_MILLIS);
      assertThat(receive(caller, 5)).isEqualTo("hello");
    }
  }

  /** A sender that resets its connection repeats nothing once the network is whole again. */
  @Test
  void heldBytesOfAConnectionThatWasResetDoNotArrive() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      NetworkAddress link =
          proxy.openTcp("held", ANY, new NetworkAddress("127.0.0.1", server.getLocalPort()));
      Socket caller = new Socket(link.host(), link.port());
      try (Socket accepted = server.accept()) {
        send(caller, "a");
        assertThat(receive(accepted, 1)).isEqualTo("a");
        proxy.set("held", LinkFaults.SILENT);
        send(caller, "hello");
        accepted.setSoTimeout(SILENCE_MILLIS);
        assertThatThrownBy(() -> accepted.getInputStream().read())
            .isInstanceOf(SocketTimeoutException.class);
        send(caller, "more");
        caller.setSoLinger(true, 0);
        caller.close();
        proxy.heal();
        accepted.setSoTimeout(PATIENCE_MILLIS);
        assertThatThrownBy(() -> accepted.getInputStream().read())
            .isInstanceOf(SocketException.class);
      }
    }
  }

  /** The same for one that began while the link stood still. */
  @Test
  void bytesOfAConnectionThatBeganAndWasResetMeanwhileDoNotArrive() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      NetworkAddress link =
          proxy.openTcp("held", ANY, new NetworkAddress("127.0.0.1", server.getLocalPort()));
      proxy.set("held", LinkFaults.SILENT);
      Socket caller = new Socket(link.host(), link.port());
      send(caller, "hello");
      server.setSoTimeout(SILENCE_MILLIS);
      assertThatThrownBy(server::accept).isInstanceOf(SocketTimeoutException.class);
      caller.setSoLinger(true, 0);
      caller.close();
      proxy.heal();
      server.setSoTimeout(PATIENCE_MILLIS);
      try (Socket accepted = server.accept()) {
        accepted.setSoTimeout(PATIENCE_MILLIS);
        assertThatThrownBy(() -> accepted.getInputStream().read())
            .isInstanceOf(SocketException.class);
      }
    }
  }

  @Test
  void aCutResetsOpenConnectionsAndNewOnes() throws IOException {
    try (Socket caller = connect("127.0.0.1")) {
      assertThat(exchange(caller, "hello")).isEqualTo("hello");
      proxy.set("echo", LinkFaults.CUT);
      assertThatThrownBy(() -> exchange(caller, "again")).isInstanceOf(IOException.class);
    }
    assertThatThrownBy(
            () -> {
              try (Socket caller = connect("127.0.0.1")) {
                exchange(caller, "hello");
              }
            })
        .isInstanceOf(IOException.class);
  }

  @Test
  void resetsAfterTheGivenNumberOfBytes() throws IOException {
    proxy.set("echo", LinkFaults.resetAfter(3));
    try (Socket caller = connect("127.0.0.1")) {
      assertThatThrownBy(() -> exchange(caller, "hello")).isInstanceOf(IOException.class);
    }
  }

  @Test
  void aFaultOfOneSourceLeavesTheOthersAlone() throws IOException {
    proxy.set("echo", "127.0.0.2", LinkFaults.CUT);
    assertThatThrownBy(
            () -> {
              try (Socket caller = connect("127.0.0.2")) {
                exchange(caller, "hello");
              }
            })
        .isInstanceOf(IOException.class);
    try (Socket caller = connect("127.0.0.1")) {
      assertThat(exchange(caller, "hello")).isEqualTo("hello");
    }
  }

  @Test
  void datagramsAreDoubledOrLost() throws IOException {
    try (DatagramSocket target = datagrams();
        DatagramSocket sender = datagrams()) {
      NetworkAddress link =
          proxy.openUdp("gossip", ANY, new NetworkAddress("127.0.0.1", target.getLocalPort()));
      proxy.set("gossip", LinkFaults.datagrams(0, 1, 0));
      send(sender, link, "twice");
      assertThat(receive(target)).isEqualTo("twice");
      assertThat(receive(target)).isEqualTo("twice");

      proxy.set("gossip", LinkFaults.datagrams(1, 0, 0));
      send(sender, link, "lost");
      target.setSoTimeout(SILENCE_MILLIS);
      assertThatThrownBy(() -> receive(target)).isInstanceOf(SocketTimeoutException.class);
    }
  }

  @Test
  void datagramAnswersFindTheirSender() throws IOException {
    try (DatagramSocket target = datagrams();
        DatagramSocket sender = datagrams()) {
      NetworkAddress link =
          proxy.openUdp("gossip", ANY, new NetworkAddress("127.0.0.1", target.getLocalPort()));
      send(sender, link, "question");
      DatagramPacket question = new DatagramPacket(new byte[64], 64);
      target.receive(question);
      byte[] answer = "answer".getBytes(StandardCharsets.UTF_8);
      target.send(new DatagramPacket(answer, answer.length, question.getSocketAddress()));

      DatagramPacket received = new DatagramPacket(new byte[64], 64);
      sender.receive(received);
      assertThat(received.getPort()).isEqualTo(link.port());
    }
  }

  private void echoAll() {
    while (!echo.isClosed()) {
      try {
        Socket socket = echo.accept();
        FaultThreads.start("echo", () -> echoOne(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void echoOne(Socket socket) {
    try (socket) {
      socket.getInputStream().transferTo(socket.getOutputStream());
    } catch (IOException e) {
      // The caller or the proxy has reset the connection, which ends the echo.
      return;
    }
  }

  private Socket connect(String sourceHost) throws IOException {
    Socket socket = new Socket();
    socket.bind(new InetSocketAddress(sourceHost, 0));
    socket.setSoTimeout(PATIENCE_MILLIS);
    socket.connect(new InetSocketAddress(address.host(), address.port()));
    return socket;
  }

  private static String exchange(Socket socket, String text) throws IOException {
    send(socket, text);
    return receive(socket, text.length());
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String receive(Socket socket, int length) throws IOException {
    byte[] answer = socket.getInputStream().readNBytes(length);
    if (answer.length < length) {
      throw new IOException("the connection ended early");
    }
    return new String(answer, StandardCharsets.UTF_8);
  }

  private static DatagramSocket datagrams() throws IOException {
    DatagramSocket socket = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0));
    socket.setSoTimeout(PATIENCE_MILLIS);
    return socket;
  }

  private static void send(DatagramSocket socket, NetworkAddress to, String text)
      throws IOException {
    byte[] content = text.getBytes(StandardCharsets.UTF_8);
    socket.send(
        new DatagramPacket(content, content.length, new InetSocketAddress(to.host(), to.port())));
  }

  private static String receive(DatagramSocket socket) throws IOException {
    DatagramPacket packet = new DatagramPacket(new byte[64], 64);
    socket.receive(packet);
    return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
  }
}
