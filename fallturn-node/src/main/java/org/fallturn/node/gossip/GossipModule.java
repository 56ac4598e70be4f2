package org.fallturn.node.gossip;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.membership.GossipListener;
import org.fallturn.core.membership.GossipMessage;
import org.fallturn.core.membership.GossipParameters;
import org.fallturn.core.membership.GossipState;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.placement.PoolDigest;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.duty.DutyThread;
import org.fallturn.node.json.JsonCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gossip membership of this node: one UDP port, one thread that receives, one duty that decides.
 * Any thread may call its methods; listeners run on the duty's thread and must not block. Listeners
 * are added before {@link #start()}.
 */
public final class GossipModule implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(GossipModule.class);
  private static final long INCARNATION_ORIGIN =
      Instant.parse("2026-01-01T00:00:00Z").getEpochSecond();
  private static final byte[] UNSIGNED_KEY = "unsigned".getBytes(StandardCharsets.UTF_8);
  private static final int RING_SIZE = 1024;
  private static final Duration TICK = Duration.ofMillis(100);
  private static final long ANNOUNCE_MILLIS = 1_000;
  private static final int HEADER_BYTES = 28;

  private final GossipTransport socket;
  private final DatagramCodec receiveCodec;
  private final GossipDuty duty;
  private final DutyThread<GossipEvent> thread;
  private final Member self;
  private final List<Consumer<PoolDigest>> digestListeners = new CopyOnWriteArrayList<>();
  private final List<VersionNotice> configurationNotices = new CopyOnWriteArrayList<>();
  private final List<VersionNotice> machineListNotices = new CopyOnWriteArrayList<>();
  private final AtomicLong messagesReceived = new AtomicLong();
  private final AtomicLong bytesReceived = new AtomicLong();
  private final AtomicLong malformed = new AtomicLong();
  private final AtomicLong notAuthentic = new AtomicLong();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicLong overrun = new AtomicLong();

  /**
   * Binds the port.
   *
   * @param clusterKey secret shared by the nodes; empty for a cluster that does without
   * @throws IOException when the port cannot be bound
   */
  public GossipModule(
      GossipParameters parameters,
      GossipIdentity identity,
      NetworkAddress listen,
      byte[] clusterKey,
      JsonCodec json)
      throws IOException {
    this(parameters, identity, listen, clusterKey, json, UdpSocket::new);
  }

  /** The same over another transport. */
  public GossipModule(
      GossipParameters parameters,
      GossipIdentity identity,
      NetworkAddress listen,
      byte[] clusterKey,
      JsonCodec json,
      GossipTransport.Opener opener)
      throws IOException {
    byte[] key = clusterKey.length == 0 ? UNSIGNED_KEY : clusterKey.clone();
    receiveCodec = new DatagramCodec(json, key);
    socket = opener.open("gossip-receive-" + identity.node(), listen, this::receive);
    self = member(identity, socket.address().port());
    DatagramCodec codec = new DatagramCodec(json, key);
    long seed = new SecureRandom().nextLong();
    GossipState state =
        new GossipState(parameters, self, codec, new Fanout(), seed, System.nanoTime());
    duty = new GossipDuty(self.node(), state, codec, socket);
    thread = new DutyThread<>("gossip-" + identity.node(), RING_SIZE, TICK, duty);
  }

  /** Starts to receive and to probe. */
  public void start() {
    thread.start();
    socket.start();
    LOG.info("gossip: {} listens at {}.", self.node(), self.gossipAddress());
  }

  /** Where the others reach this node's gossip port. */
  public NetworkAddress address() {
    return self.gossipAddress();
  }

  /** The port this node itself listens on; others may reach it by another address. */
  public NetworkAddress listenAddress() {
    return socket.address();
  }

  /** The members as this node sees them now. */
  public MembershipView view() {
    return duty.view();
  }

  /** Gives the members as this node sees them whenever asked. */
  public Supplier<MembershipView> viewSupplier() {
    return duty::view;
  }

  /** Adds a listener to newer pool digests. */
  public void addDigestListener(Consumer<PoolDigest> listener) {
    digestListeners.add(listener);
  }

  /** Adds a listener to peers with a higher configuration version than this node's. */
  public void addConfigurationNotice(VersionNotice notice) {
    configurationNotices.add(notice);
  }

  /** Adds a listener to peers with a newer machine list than this node's. */
  public void addMachineListNotice(VersionNotice notice) {
    machineListNotices.add(notice);
  }

  /** Spreads the digest of a pool this node leads. */
  public void publish(PoolDigest digest) {
    offer(new GossipEvent.PublishDigest(digest));
  }

  /** This node has a configuration version in force. */
  public void configurationVersion(long version) {
    offer(new GossipEvent.VersionInForce(version));
  }

  /** This node has a machine list; its nodes are where gossip finds others. */
  public void machineList(MachineList machines) {
    offer(new GossipEvent.NewMachineList(machines));
  }

  /** Tells the others that this node will stop; returns when they have been told. */
  public void announceLeaving() {
    LOG.info("gossip: {} announces that it is leaving.", self.node());
    CountDownLatch told = new CountDownLatch(1);
    announce(new GossipEvent.Leaving(told), told);
  }

  /** Whether this node links its zone to the others now. */
  public boolean isBridge() {
    return duty.isBridge();
  }

  /** What passed the port since the start. */
  public GossipTraffic traffic() {
    return new GossipTraffic(
        duty.counters(),
        messagesReceived.get(),
        bytesReceived.get(),
        malformed.get(),
        notAuthentic.get(),
        duty.replayed(),
        overrun.get());
  }

  /** Tells the others that this node has stopped, and stops. */
  @Override
  public void close() throws IOException {
    if (closed.get()) {
      return;
    }
    CountDownLatch told = new CountDownLatch(1);
    announce(new GossipEvent.Stopped(told), told);
    abort();
  }

  /** Stops without a word, as a killed process does. */
  public void abort() throws IOException {
    if (closed.compareAndSet(false, true)) {
      socket.close();
      thread.close();
    }
  }

  private void announce(GossipEvent event, CountDownLatch told) {
    if (!thread.offer(event)) {
      return;
    }
    try {
      if (!told.await(ANNOUNCE_MILLIS, TimeUnit.MILLISECONDS)) {
        LOG.warn("gossip: The others could not be told in time.");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void offer(GossipEvent event) {
    if (!thread.offer(event)) {
      overrun.incrementAndGet();
    }
  }

  private void receive(byte[] datagram, NetworkAddress source) {
    bytesReceived.addAndGet(datagram.length + HEADER_BYTES);
    try {
      GossipMessage message = receiveCodec.decode(datagram);
      messagesReceived.incrementAndGet();
      offer(new GossipEvent.Received(message, source));
    } catch (DatagramRefusedException e) {
      if (e.reason() == DatagramRefusedException.Reason.MALFORMED) {
        malformed.incrementAndGet();
      } else {
        notAuthentic.incrementAndGet();
      }
    }
  }

  private static Member member(GossipIdentity identity, int gossipPort) {
    return new Member(
        identity.node(),
        identity.region(),
        identity.zone(),
        identity.peerAddress(),
        advertised(identity.gossipAddress(), gossipPort),
        Instant.now().getEpochSecond() - INCARNATION_ORIGIN,
        Member.State.ALIVE,
        0);
  }

  private static NetworkAddress advertised(NetworkAddress configured, int boundPort) {
    int port = configured.port() == 0 ? boundPort : configured.port();
    return new NetworkAddress(configured.host(), port);
  }

  /** Passes what gossip brings to the listeners. */
  private final class Fanout implements GossipListener {

    @Override
    public void onPoolDigest(PoolDigest digest) {
      digestListeners.forEach(listener -> listener.accept(digest));
    }

    @Override
    public void onNewerConfiguration(Member peer, long version) {
      configurationNotices.forEach(notice -> notice.onNewerVersion(peer, version));
    }

    @Override
    public void onNewerMachineList(Member peer, long version) {
      machineListNotices.forEach(notice -> notice.onNewerVersion(peer, version));
    }
  }
}
