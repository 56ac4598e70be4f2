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
 * Carries messages between gateways as datagrams, and counts them by kind. Sends on the dispatch
 * thread, receives on its own.
 */
final class PeerExchange implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PeerExchange.class);

  private final Consumer<DispatchEvent> events;
  private final PeerCodec codec = new PeerCodec();
  private final UdpSocket socket;
  private final Map<MessageKind, LongAdder> messagesSent = counters();
  private final Map<MessageKind, LongAdder> bytesSent = counters();
  private final LongAdder messagesHeard = new LongAdder();

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

  /** Adds the counts of messages and bytes by kind. */
  void addTo(GatewayMetrics metrics) {
    for (MessageKind kind : MessageKind.values()) {
      String name = kind.name().toLowerCase(Locale.ROOT);
      metrics.gauge("peer_" + name + "_messages_sent", messagesSent.get(kind)::sum);
      metrics.gauge("peer_" + name + "_bytes_sent", bytesSent.get(kind)::sum);
    }
    metrics.gauge("peer_messages_heard", messagesHeard::sum);
  }

  /** Where datagrams come in, with the real port. */
  NetworkAddress address() {
    return socket.address();
  }

  /**
   * Begins to receive.
   *
   * @param faults hears of what the duty does not catch
   */
  void start(FaultListener faults) {
    socket.start(faults);
  }

  /**
   * Sends messages; best effort. A message that follows itself to other targets is written once.
   */
  void send(List<OutgoingPeerMessage> messages) {
    PeerMessage written = null;
    byte[] datagram = new byte[0];
    for (OutgoingPeerMessage outgoing : messages) {
      if (outgoing.message() != written) {
        written = outgoing.message();
        datagram = codec.encode(written);
      }
      messagesSent.get(written.kind()).increment();
      bytesSent.get(written.kind()).add(datagram.length);
      socket.send(datagram, outgoing.target());
    }
  }

  private void receive(byte[] datagram, NetworkAddress from) {
    try {
      PeerMessage message = codec.decode(datagram);
      messagesHeard.increment();
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
