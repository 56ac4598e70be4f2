package org.fallturn.node.gateway;

import java.io.IOException;
import java.nio.channels.DatagramChannel;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.peers.MessageKind;
import org.fallturn.core.peers.OutgoingPeerMessage;
import org.fallturn.core.peers.PeerMessage;
import org.fallturn.node.duty.FaultListener;
import org.fallturn.node.gossip.UdpSocket;
import org.fallturn.node.json.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends and receives messages between gateways as UDP datagrams, and counts them by kind. The
 * dispatch thread sends; a thread of its own receives.
 */
final class PeerExchange implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PeerExchange.class);

  private final Consumer<DispatchEvent> events;
  private final PeerCodec codec = new PeerCodec();
  private final UdpSocket socket;
  private final Map<MessageKind, LongAdder> messagesSent = counters();
  private final Map<MessageKind, LongAdder> bytesSent = counters();
  private final LongAdder messagesReceived = new LongAdder();

  PeerExchange(DatagramChannel datagrams, Consumer<DispatchEvent> events) throws IOException {
    this.events = events;
    this.socket = new UdpSocket("peers", datagrams, this::receive);
  }

  private static Map<MessageKind, LongAdder> counters() {
    Map<MessageKind, LongAdder> counters = new EnumMap<>(MessageKind.class);
    for (MessageKind kind : MessageKind.values()) {
      counters.put(kind, new LongAdder());
    }
    return counters;
  }

  /** Registers the counts of messages and bytes as metrics, those of sent ones by kind. */
  void addTo(GatewayMetrics metrics) {
    for (MessageKind kind : MessageKind.values()) {
      String name = kind.name().toLowerCase(Locale.ROOT);
      metrics.gauge("peer_" + name + "_messages_sent", messagesSent.get(kind)::sum);
      metrics.gauge("peer_" + name + "_bytes_sent", bytesSent.get(kind)::sum);
    }
    metrics.gauge("peer_messages_heard", messagesReceived::sum);
  }

  /** The address that datagrams arrive at, with the port that was bound. */
  NetworkAddress address() {
    return socket.address();
  }

  /**
   * Starts receiving.
   *
   * @param faults receives the exceptions that the receiver does not catch
   */
  void start(FaultListener faults) {
    socket.start(faults);
  }

  /**
   * Sends messages; any of them may be lost. Consecutive entries with the same message, for several
   * targets, are encoded once.
   */
  void send(List<OutgoingPeerMessage> messages) {
    PeerMessage encoded = null;
    byte[] datagram = new byte[0];
    for (OutgoingPeerMessage outgoing : messages) {
      if (outgoing.message() != encoded) {
        encoded = outgoing.message();
        datagram = codec.encode(encoded);
      }
      messagesSent.get(encoded.kind()).increment();
      bytesSent.get(encoded.kind()).add(datagram.length);
      socket.send(datagram, outgoing.target());
    }
  }

  private void receive(byte[] datagram, NetworkAddress from) {
    try {
      PeerMessage message = codec.decode(datagram);
      messagesReceived.increment();
      events.accept(new DispatchEvent.PeerMessageReceived(message));
    } catch (MalformedMessageException e) {
      LOG.warn("peers: A datagram from {} is not readable: {}.", from, e.getMessage());
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
