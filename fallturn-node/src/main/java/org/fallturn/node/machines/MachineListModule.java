package org.fallturn.node.machines;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.membership.RendezvousHash;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.duty.DutyHandler;
import org.fallturn.node.duty.DutyThread;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.http.RemoteCallException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the platform's machine list. Two nodes of each zone, others after each change, read it from
 * the platform; the rest learn by gossip that a peer has a newer one and fetch the change from it.
 * While the platform does not answer, the last good list stays. One duty thread does all calls; the
 * list may be read by any thread.
 */
public final class MachineListModule implements Supplier<MachineList>, AutoCloseable {

  /** Version of the empty list before the first one was read. */
  public static final long NO_LIST = -1;

  private static final Logger LOG = LoggerFactory.getLogger(MachineListModule.class);
  private static final String PEER_PATH = "/peer/machines";
  private static final String PLATFORM_PATH = "/v1/machines?after=";
  private static final int UNCHANGED = 304;
  private static final int READERS_PER_ZONE = 2;
  private static final int MAX_BACKOFF_FACTOR = 8;
  private static final int MAX_QUERY_BYTES = 1024;
  private static final int RING_SIZE = 64;
  private static final Duration TICK = Duration.ofMillis(100);

  private final JsonHttpClient client;
  private final MachineListSource source;
  private final NodeId self;
  private final ZoneName zone;
  private final Supplier<MembershipView> members;
  private final MachineListHistory history = new MachineListHistory();
  private final List<Consumer<MachineList>> listeners = new CopyOnWriteArrayList<>();
  private final AtomicLong platformReads = new AtomicLong();
  private final AtomicLong platformFailures = new AtomicLong();
  private final AtomicLong peerReads = new AtomicLong();
  private final Random random = new Random();
  private final DutyThread<PeerNotice> thread;
  private long nextReadNanos;
  private int backoffFactor = 1;

  /**
   * A module that does not read yet.
   *
   * @param members this node's view of its zone, by which readers are chosen
   */
  public MachineListModule(
      JsonHttpClient client,
      MachineListSource source,
      NodeId self,
      ZoneName zone,
      Supplier<MembershipView> members) {
    this.client = client;
    this.source = source;
    this.self = self;
    this.zone = zone;
    this.members = members;
    this.thread = new DutyThread<>("machines-" + self, RING_SIZE, TICK, new Duty());
  }

  /** Serves the list to peers. */
  public void addTo(HttpRouter peerRouter) {
    peerRouter.message(
        PEER_PATH,
        MachineListQuery.class,
        MAX_QUERY_BYTES,
        query -> CompletableFuture.completedFuture(answer(query)));
  }

  /** What a peer that asks gets. */
  public MachineListChange answer(MachineListQuery query) {
    return history.changeSince(query.after());
  }

  /** Adds a listener to newer lists, called on the duty's thread. */
  public void addListener(Consumer<MachineList> listener) {
    listeners.add(listener);
  }

  /** Starts to read. */
  public void start() {
    nextReadNanos = System.nanoTime();
    thread.start();
  }

  /** A peer has a newer list. Any thread may call; never blocks. */
  public void onNewerVersion(Member peer, long version) {
    if (version > history.newest().version()) {
      thread.offer(new PeerNotice(peer.peerAddress(), version));
    }
  }

  /** The last good list; empty before the first. */
  @Override
  public MachineList get() {
    return history.newest();
  }

  /** Reads from the platform since the start, failed ones included. */
  public long platformReads() {
    return platformReads.get();
  }

  /** Reads from the platform that failed. */
  public long platformFailures() {
    return platformFailures.get();
  }

  /** Changes fetched from peers. */
  public long peerReads() {
    return peerReads.get();
  }

  @Override
  public void close() {
    thread.close();
  }

  private record PeerNotice(NetworkAddress peer, long version) {}

  /** The duty: reads on ticks when it is this node's turn, on notices from peers. */
  private final class Duty implements DutyHandler<PeerNotice> {

    @Override
    public void onEvent(PeerNotice notice) {
      if (notice.version() > history.newest().version()) {
        readFromPeer(notice.peer());
      }
    }

    @Override
    public void onTick() {
      if (System.nanoTime() - nextReadNanos < 0) {
        return;
      }
      if (isReader()) {
        readFromPlatform();
      }
      long interval = source.interval().toNanos() * backoffFactor;
      nextReadNanos = System.nanoTime() + interval / 2 + random.nextLong(interval);
    }
  }

  private boolean isReader() {
    MachineList newest = history.newest();
    if (newest.version() == NO_LIST) {
      return true;
    }
    List<NodeId> alive =
        members.get().members().values().stream()
            .filter(member -> member.zone().equals(zone))
            .filter(member -> member.state() == Member.State.ALIVE)
            .map(Member::node)
            .toList();
    String duty = "machines/" + zone + "/" + newest.version();
    return alive.size() <= READERS_PER_ZONE
        || RendezvousHash.top(duty, alive, READERS_PER_ZONE).contains(self);
  }

  private void readFromPlatform() {
    platformReads.incrementAndGet();
    try {
      String path = PLATFORM_PATH + history.newest().version();
      accept(
          JsonHttpClient.await(
              client.get(source.platform(), path, MachineList.class, source.timeout())));
      recovered();
    } catch (RemoteCallException e) {
      if (e.status() == UNCHANGED) {
        recovered();
      } else {
        failed(e);
      }
    }
  }

  private void recovered() {
    if (backoffFactor > 1) {
      LOG.info("machines: The platform answers again.");
    }
    backoffFactor = 1;
  }

  private void failed(RemoteCallException cause) {
    platformFailures.incrementAndGet();
    if (backoffFactor == 1) {
      LOG.warn("machines: Keeping the last list: {}.", cause.getMessage());
    }
    backoffFactor = Math.min(MAX_BACKOFF_FACTOR, 2 * backoffFactor);
  }

  private void readFromPeer(NetworkAddress peer) {
    peerReads.incrementAndGet();
    MachineList newest = history.newest();
    try {
      MachineListQuery query = new MachineListQuery(newest.version());
      MachineListChange change =
          JsonHttpClient.await(
              client.post(peer, PEER_PATH, query, MachineListChange.class, source.timeout()));
      boolean whole = change.from() == NO_LIST;
      if (whole || change.from() == newest.version()) {
        accept(change.applyTo(whole ? new MachineList(NO_LIST, List.of()) : newest));
      }
    } catch (RemoteCallException e) {
      LOG.debug("machines: Peer {} gave no list: {}.", peer, e.getMessage());
    }
  }

  private void accept(MachineList list) {
    if (history.add(list)) {
      listeners.forEach(listener -> listener.accept(list));
    }
  }
}
