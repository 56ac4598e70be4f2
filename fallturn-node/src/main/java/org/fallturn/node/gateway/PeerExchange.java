package org.fallturn.node.gateway;

import java.io.IOException;
import java.nio.channels.DatagramChannel;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.fallturn.core.dispatch.EngineDigest;
import org.fallturn.core.dispatch.LearnedSpeed;
import org.fallturn.core.dispatch.LoadDigest;
import org.fallturn.core.dispatch.PeerBook;
import org.fallturn.core.dispatch.PlacedPrompt;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.gossip.UdpSocket;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells this node's load to the other gateways by datagrams and hears theirs. Cost a node is
 * bounded: a bounded number of peers a turn, a bounded datagram, and silence while nothing changes.
 * Sends on the dispatch thread, receives on its own.
 */
final class PeerExchange implements LoadSender, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PeerExchange.class);

  private static final int FAN_OUT = 12;
  private static final int ASKED_PEERS = 3;
  private static final int MAX_ENGINES = 20;
  private static final int MAX_PROMPTS = 4;
  private static final int MAX_PARTS = 3;
  private static final int MAX_PEERS = 12;
  private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final String node;
  private final long incarnation;
  private final PeerBook book;
  private final Consumer<DispatchEvent> events;
  private final JsonCodec codec = new JsonCodec();
  private final UdpSocket socket;
  private Map<String, EngineDigest> lastSent = Map.of();
  private long lastSentNanos;
  private long sequence;

  PeerExchange(
      String node,
      long incarnation,
      DatagramChannel datagrams,
      PeerBook book,
      Consumer<DispatchEvent> events)
      throws IOException {
    this.node = node;
    this.incarnation = incarnation;
    this.book = book;
    this.events = events;
    this.socket = new UdpSocket("peers", datagrams, this::receive);
  }

  /** Where datagrams come in, with the real port. */
  NetworkAddress address() {
    return socket.address();
  }

  void start() {
    socket.start();
  }

  /** Peers to ask for what this node does not know. */
  List<NetworkAddress> askable() {
    return book.nextTargets(ASKED_PEERS, System.nanoTime());
  }

  @Override
  public OptionalInt cautiousNodeCount() {
    return book.cautiousNodeCount(System.nanoTime());
  }

  /** Else every message costs each node as much and reaches only some. */
  @Override
  public boolean reachesAll() {
    return book.reachableCount(System.nanoTime()) <= FAN_OUT;
  }

  @Override
  public void send(
      Map<String, EngineDigest> engines,
      List<PlacedPrompt> newPrompts,
      Map<String, LearnedSpeed> speeds) {
    long now = System.nanoTime();
    boolean silent = newPrompts.isEmpty() && engines.equals(lastSent);
    if (silent && now - lastSentNanos < HEARTBEAT_NANOS) {
      return;
    }
    lastSent = engines;
    lastSentNanos = now;
    LoadDigest digest =
        new LoadDigest(
            node, incarnation, ++sequence, busiest(engines), shortened(newPrompts), speeds);
    List<NetworkAddress> heard = book.heardLately(now);
    List<NetworkAddress> told = heard.subList(0, Math.min(MAX_PEERS, heard.size()));
    byte[] datagram = codec.encode(new PeerMessage(digest, told, book.heardCount(now)));
    book.nextTargets(FAN_OUT, now).forEach(peer -> socket.send(datagram, peer));
  }

  private static Map<String, EngineDigest> busiest(Map<String, EngineDigest> engines) {
    if (engines.size() <= MAX_ENGINES) {
      return engines;
    }
    return engines.entrySet().stream()
        .sorted(
            Comparator.comparing((Map.Entry<String, EngineDigest> entry) -> !avoided(entry))
                .thenComparingInt(entry -> -entry.getValue().running()))
        .limit(MAX_ENGINES)
        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  private static boolean avoided(Map.Entry<String, EngineDigest> entry) {
    return entry.getValue().suspecting() > 0 || entry.getValue().changing() > 0;
  }

  private static List<PlacedPrompt> shortened(List<PlacedPrompt> prompts) {
    return prompts.stream()
        .limit(MAX_PROMPTS)
        .map(
            prompt ->
                new PlacedPrompt(
                    prompt.engineId(),
                    prompt.readyInMillis(),
                    prompt.parts().subList(0, Math.min(MAX_PARTS, prompt.parts().size()))))
        .toList();
  }

  private void receive(byte[] datagram, NetworkAddress from) {
    try {
      PeerMessage message = codec.decode(datagram, PeerMessage.class);
      long now = System.nanoTime();
      book.onHeard(from, message.peers(), now);
      book.onCountTold(message.nodes(), now);
      events.accept(new DispatchEvent.DigestHeard(message.load()));
    } catch (MalformedMessageException e) {
      LOG.warn("peers: A datagram from {} is not readable: {}.", from, e.getMessage());
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
