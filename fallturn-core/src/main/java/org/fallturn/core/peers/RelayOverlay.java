package org.fallturn.core.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fallturn.core.dispatch.CacheListing;
import org.fallturn.core.dispatch.LoadDigest;
import org.fallturn.core.dispatch.PeerLoads;
import org.fallturn.core.dispatch.PlacedPrompt;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.following.WatchOrder;
import org.fallturn.core.membership.RendezvousHash;
import org.fallturn.core.streams.StreamOrigin;
import org.fallturn.core.streams.StreamReport;
import org.fallturn.core.usage.UsageCounts;

/**
 * Exchanges what nodes know of engines over an overlay of relays: decides which messages this node
 * sends to which nodes, and processes those that it receives. A node reports to one relay, which
 * sends it the view of all other nodes. Relays send each other what they and their members, the
 * nodes that report to them, have at the engines. In a small fleet all nodes are relays.
 *
 * <p>Invariants: the load of a node is passed on only by the relay that it reports to, so that no
 * sum counts it twice for longer than {@link PeerLoads} keeps a message; a report goes only to a
 * node that ranks before its sender, so that no sum returns to a node that it includes; a relay's
 * view for a member leaves out what that member reported. Only the dispatch thread calls.
 */
public final class RelayOverlay {

  /** The length of a round: how often changes are sent. */
  private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Silence after which a node leaves its relay; three messages of the relay may be lost. */
  private static final long RELAY_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

  /** A longer pause of this node restarts its wait for the relay: silence then means nothing. */
  private static final long OWN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Pause without changes: a fifth of the time {@link PeerDirectory} counts a node as heard. */
  private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Pause between updates: a node that speaks only for itself sends at once, a relay gathers. */
  private static final long UPDATE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private static final long GATHERED_UPDATES_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * How long a node must rank as a relay before it becomes one: longer than it takes until relays
   * have reported which nodes they hear.
   */
  private static final long PROMOTION_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final long RELAY_LIST_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Refresh period of {@link #askable}, used only by a new node that the store does not answer. */
  private static final long REFRESH_ASKABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Greetings reunite a fleet that was cut into parts, and find a node that all others forgot. */
  private static final long GREETING_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private static final long GREETING_PAUSE_ALONE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** The least time between two answers to a node that asks for all listings. */
  private static final long LISTINGS_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Nodes that receive all usage counts: a store may reject a third of the nodes at once. */
  private static final int COLLECTORS = 3;

  private static final String COLLECT_PURPOSE = "collect";

  private final PeerInfo self;
  private final String node;
  private final long incarnation;
  private final List<NetworkAddress> seeds;
  private final PeerLoads loads;
  private final PeerDirectory directory;
  private final TableVersions tables;
  private final PendingUpdates groupUpdates = new PendingUpdates();
  private final PendingUpdates viewUpdates = new PendingUpdates();
  private final Map<NetworkAddress, Long> listingsSentAt = new HashMap<>();
  private final Set<NetworkAddress> listingRequests = new LinkedHashSet<>();
  private final Set<NetworkAddress> pendingWelcomes = new LinkedHashSet<>();
  private volatile boolean relaying = true;
  private boolean ranksAsRelay;
  private long ranksAsRelaySinceNanos;
  private Set<PeerInfo> ranked = Set.of();
  private int rankedNodes = 1;
  private long askableRefreshedNanos;
  private volatile RelayRanking ranking;
  private List<PeerInfo> collectors = List.of();
  private Optional<PeerInfo> relay = Optional.empty();
  private long relaySinceNanos;
  private boolean busyLastRound;
  private boolean started;
  private boolean urgent;
  private boolean wantsListings;
  private long lastCallNanos;
  private long lastRoundNanos;
  private long lastSentNanos;
  private long lastUpwardNanos;
  private long lastRelayListNanos;
  private long lastGreetingNanos;
  private long sequence;
  private final NodeCount count;
  private boolean tablesChanged;
  private boolean tablesChangedForMembers;
  private final TableVersionPublisher upwardVersions;
  private final TableVersionPublisher memberVersions;
  private volatile WatchOrder watchOrder;
  private volatile List<NetworkAddress> askable = List.of();

  /**
   * Creates the overlay of a node that knows only its seeds, the nodes to contact first.
   *
   * @param incarnation number that rises with each start of the node's process
   * @param loads receives the load of other nodes at the engines
   */
  public RelayOverlay(
      PeerInfo self,
      String node,
      long incarnation,
      Collection<NetworkAddress> seeds,
      PeerLoads loads,
      long nowNanos) {
    this.self = self;
    this.node = node;
    this.incarnation = incarnation;
    this.seeds = seeds.stream().filter(seed -> !seed.equals(self.address())).distinct().toList();
    this.loads = loads;
    this.directory = new PeerDirectory(self);
    this.tables = new TableVersions(node);
    this.upwardVersions = new TableVersionPublisher(tables);
    this.memberVersions = new TableVersionPublisher(tables);
    setRanking(new RelayRanking(self, List.of(), 1));
    this.watchOrder = WatchOrder.ofOne(!this.seeds.isEmpty());
    this.count = new NodeCount(this.seeds.size(), nowNanos);
  }

  /** Processes a message. The caller processes its prompts, speeds and listings. */
  public void onMessage(PeerMessage message, long nowNanos) {
    if (message.kind() == MessageKind.USAGE) {
      return;
    }
    PeerInfo sender = message.sender();
    if (message.kind() != MessageKind.GREETING) {
      directory.onHeard(sender, nowNanos);
    }
    message.relays().forEach(peer -> directory.onPeerReport(peer, nowNanos));
    boolean newVersions = tables.onPeerReport(message.tables(), nowNanos) && relaying;
    tablesChangedForMembers |= newVersions;
    tablesChanged |= newVersions && message.kind() != MessageKind.GROUP;
    if (message.wantsListings()) {
      onListingsWanted(sender.address(), nowNanos);
    }
    receiveLoad(message, nowNanos);
    receiveUpdates(message, nowNanos);
  }

  private void receiveLoad(PeerMessage message, long nowNanos) {
    NetworkAddress sender = message.sender().address();
    if (message.kind() == MessageKind.GREETING) {
      pendingWelcomes.add(sender);
    } else if (message.kind() == MessageKind.WELCOME) {
      count.onPeerReport(message.load().nodes(), nowNanos);
    }
    boolean foreignView = message.kind() == MessageKind.VIEW && !isRelay(message.sender());
    if (!foreignView) {
      message
          .kind()
          .source()
          .ifPresent(source -> loads.onDigest(message.load(), source, sender, nowNanos));
    }
  }

  private boolean isRelay(PeerInfo sender) {
    return relay.isPresent() && relay.get().address().equals(sender.address());
  }

  /** Queues updates: those of members for relays and members, those of relays for members only. */
  private void receiveUpdates(PeerMessage message, long nowNanos) {
    if (message.kind() == MessageKind.WELCOME) {
      return;
    }
    if (message.kind() == MessageKind.REPORT) {
      groupUpdates.addPrompts(message.load().prompts());
      groupUpdates.addListings(message.listings(), nowNanos);
      groupUpdates.addOrigins(message.streams().origins());
    }
    viewUpdates.addOrigins(message.streams().origins());
    viewUpdates.addPrompts(message.load().prompts());
    viewUpdates.addListings(message.listings(), nowNanos);
  }

  private void onListingsWanted(NetworkAddress asker, long nowNanos) {
    listingsSentAt.values().removeIf(at -> nowNanos - at >= LISTINGS_PAUSE_NANOS);
    if (!listingsSentAt.containsKey(asker)) {
      listingRequests.add(asker);
    }
  }

  /** Adds prompts that this node placed. */
  public void addPrompts(Collection<PlacedPrompt> placed) {
    groupUpdates.addPrompts(placed);
    viewUpdates.addPrompts(placed);
  }

  /** Adds streams that began at this node. */
  public void addOrigins(Collection<StreamOrigin> begun) {
    groupUpdates.addOrigins(begun);
    viewUpdates.addOrigins(begun);
  }

  /** Adds a cache listing that an engine sent to this node. */
  public void addListing(CacheListing listing, long nowNanos) {
    groupUpdates.addListings(List.of(listing), nowNanos);
    viewUpdates.addListings(List.of(listing), nowNanos);
  }

  /** Makes the next call of {@link #due} send messages at once rather than in the next round. */
  public void onUrgentChange() {
    urgent = true;
  }

  /** Sets whether this node asks others for all cache listings that they know. */
  public void setWantsListings(boolean wanted) {
    wantsListings = wanted;
  }

  /** Returns whether a node asked for all listings, to be answered by {@link #answerListings}. */
  public boolean hasListingRequests() {
    return !listingRequests.isEmpty();
  }

  /** The messages that answer the nodes that asked for all cache listings. */
  public List<OutgoingPeerMessage> answerListings(Collection<CacheListing> all, long nowNanos) {
    PendingUpdates pending = new PendingUpdates();
    pending.addListings(all, nowNanos);
    List<OutgoingPeerMessage> answers = new ArrayList<>();
    while (!pending.isEmpty()) {
      PeerMessage message =
          new PeerMessage(
              MessageKind.WELCOME,
              self,
              digest(new OwnLoad(Map.of(), Map.of(), List.of(), true), List.of()),
              pending.takeListings(nowNanos),
              List.of(),
              List.of(),
              tables.all(),
              false);
      listingRequests.forEach(asker -> answers.add(new OutgoingPeerMessage(asker, message)));
    }
    listingRequests.forEach(asker -> listingsSentAt.put(asker, nowNanos));
    listingRequests.clear();
    return answers;
  }

  /** Returns whether rendezvous hashing of the known relays selects this one to poll an engine. */
  public boolean pollsEngine(String engineId, long nowNanos) {
    if (!relaying || !directory.anyHeard(nowNanos) && !seeds.isEmpty()) {
      return false;
    }
    long own = RendezvousHash.weight(engineId, self.address().toString());
    return ranking.relays().stream()
        .map(peer -> RendezvousHash.weight(engineId, peer.address().toString()))
        .noneMatch(weight -> Long.compareUnsigned(weight, own) > 0);
  }

  /**
   * The highest number of nodes within the last minute, including this one, but at least this node
   * and its seeds; empty if this node has seeds and counted no other node within that time.
   */
  public OptionalInt conservativeNodeCount(long nowNanos) {
    count.onHeard(loads.nodeCount(nowNanos), nowNanos);
    return count.conservative();
  }

  /** Whether {@link #conservativeNodeCount} counts the whole fleet and so may divide bounds. */
  public boolean nodeCountSettled(long nowNanos) {
    return count.settled(nowNanos);
  }

  /** The newest table versions that any node has seen. May be used by any thread. */
  public TableVersions tables() {
    return tables;
  }

  /** This node's position among the nodes that watch the store. May be called by any thread. */
  public WatchOrder watchOrder() {
    return watchOrder;
  }

  private WatchOrder computeWatchOrder(long nowNanos) {
    return directory.anyHeard(nowNanos)
        ? ranking.watchOrder(relay, Math.max(count.highest(), loads.nodeCount(nowNanos)))
        : WatchOrder.ofOne(!seeds.isEmpty());
  }

  /** Returns whether a table version was learned that others should hear of at once. */
  public boolean hasUnsentTableVersions() {
    return tablesChanged || tablesChangedForMembers;
  }

  /** Returns whether others send this node their usage counts, so that it may report for all. */
  public boolean collects() {
    return collectors.contains(self);
  }

  /** Sets the ranking and the collectors: a few relays, the same if nodes know the same nodes. */
  private void setRanking(RelayRanking newRanking) {
    ranking = newRanking;
    collectors = newRanking.relaysFor(COLLECT_PURPOSE).stream().limit(COLLECTORS).toList();
  }

  /** The messages that send this node's usage counts to the collectors. */
  public List<OutgoingPeerMessage> usageMessages(UsageCounts news) {
    PeerMessage message = PeerMessage.ofUsage(self, emptyLoad(1, ""), news);
    return collectors.stream()
        .filter(collector -> !collector.equals(self))
        .map(collector -> new OutgoingPeerMessage(collector.address(), message))
        .toList();
  }

  /** A number that rises with each start of this node's process. */
  public long incarnation() {
    return incarnation;
  }

  /** Returns whether other nodes receive what the fleet knows only through this node. */
  public boolean hasMembers(long nowNanos) {
    return loads.hasMembers(nowNanos);
  }

  /** The nodes heard recently, or the seeds if there are none. May be called by any thread. */
  public List<NetworkAddress> askable() {
    List<NetworkAddress> heard = askable;
    return heard.isEmpty() ? seeds : heard;
  }

  /** Returns whether this node is a relay, as far as it knows. May be called by any thread. */
  public boolean isRelay() {
    return relaying;
  }

  /** The node count that was last computed, or 1 before the first. May be called by any thread. */
  public int nodeCount() {
    return Math.max(1, count.highest());
  }

  /** The messages to send now; called at each tick and at an urgent change. */
  public List<OutgoingPeerMessage> due(Supplier<OwnLoad> own, long nowNanos) {
    tablesChanged |= tables.takeUnsent();
    tablesChangedForMembers |= tablesChanged;
    boolean round = !started || urgent || tablesChanged || nowNanos - lastRoundNanos >= ROUND_NANOS;
    if (started && nowNanos - lastCallNanos >= OWN_PAUSE_NANOS) {
      relaySinceNanos = nowNanos;
    }
    lastCallNanos = nowNanos;
    List<OutgoingPeerMessage> messages = new ArrayList<>();
    if (round) {
      started = true;
      urgent = false;
      lastRoundNanos = nowNanos;
      updateRanking(nowNanos);
      addGreetings(messages, nowNanos);
    }
    if (round || tablesChangedForMembers || updatesAreDue(nowNanos)) {
      addLoadMessages(own.get(), round, messages, nowNanos);
      tablesChanged = false;
      tablesChangedForMembers = false;
    }
    return messages;
  }

  private boolean updatesAreDue(long nowNanos) {
    if (groupUpdates.isEmpty() && viewUpdates.isEmpty()) {
      return false;
    }
    boolean alone = !loads.hasMembers(nowNanos);
    if (groupUpdates.isEmpty() && alone) {
      return false;
    }
    return nowNanos - lastSentNanos >= (alone ? UPDATE_PAUSE_NANOS : GATHERED_UPDATES_PAUSE_NANOS);
  }

  private void updateRanking(long nowNanos) {
    leaveSilentRelay(nowNanos);
    rerankIfNodesChanged(nowNanos);
    relaying = mayRelay(nowNanos);
    Optional<PeerInfo> chosen = relaying ? Optional.empty() : ranking.relayOfThisNode();
    boolean relayRemains = relay.isPresent() && ranking.relays().contains(relay.get());
    if (chosen.isEmpty() || !relayRemains) {
      if (!chosen.equals(relay)) {
        relaySinceNanos = nowNanos;
      }
      relay = chosen;
    }
    watchOrder = computeWatchOrder(nowNanos);
    if (nowNanos - askableRefreshedNanos >= REFRESH_ASKABLE_NANOS) {
      askableRefreshedNanos = nowNanos;
      askable = directory.heard(nowNanos);
    }
  }

  /**
   * Returns whether this node is a relay now. If there is another relay, it first ranks as one for
   * a while, since it may merely have stopped hearing others.
   */
  private boolean mayRelay(long nowNanos) {
    if (!ranking.isRelay()) {
      ranksAsRelay = false;
      return false;
    }
    if (!ranksAsRelay) {
      ranksAsRelay = true;
      ranksAsRelaySinceNanos = nowNanos;
    }
    return relaying
        || nowNanos - ranksAsRelaySinceNanos >= PROMOTION_NANOS
        || ranking.relayOfThisNode().isEmpty();
  }

  private void rerankIfNodesChanged(long nowNanos) {
    List<PeerInfo> known = directory.known(nowNanos);
    int nodes = loads.nodeCount(nowNanos);
    if (nodes != rankedNodes || known.size() != ranked.size() || !ranked.containsAll(known)) {
      ranked = Set.copyOf(known);
      rankedNodes = nodes;
      setRanking(new RelayRanking(self, known, nodes));
    }
  }

  private void leaveSilentRelay(long nowNanos) {
    if (relay.isEmpty() || nowNanos - relaySinceNanos < RELAY_SILENCE_NANOS) {
      return;
    }
    if (!loads.viewReceivedWithin(RELAY_SILENCE_NANOS, nowNanos)) {
      directory.avoid(relay.get().address(), nowNanos);
      relay = Optional.empty();
    }
  }

  private void addGreetings(List<OutgoingPeerMessage> messages, long nowNanos) {
    boolean alone = !directory.anyHeard(nowNanos);
    long pause = alone ? GREETING_PAUSE_ALONE_NANOS : GREETING_PAUSE_NANOS;
    if (lastGreetingNanos == 0 || nowNanos - lastGreetingNanos >= pause) {
      lastGreetingNanos = nowNanos;
      if (alone) {
        seeds.forEach(seed -> messages.add(greeting(MessageKind.GREETING, seed, nowNanos)));
      }
      directory
          .nextToGreet(seeds, nowNanos)
          .ifPresent(peer -> messages.add(greeting(MessageKind.GREETING, peer, nowNanos)));
    }
    pendingWelcomes.forEach(peer -> messages.add(greeting(MessageKind.WELCOME, peer, nowNanos)));
    pendingWelcomes.clear();
  }

  /** Creates a message with the relays but no load: its target may not rank before this node. */
  private OutgoingPeerMessage greeting(MessageKind kind, NetworkAddress peer, long nowNanos) {
    LoadDigest load = emptyLoad(count.toReport(nowNanos), node);
    List<KnownPeer> candidates = candidates(nowNanos);
    return new OutgoingPeerMessage(
        peer,
        new PeerMessage(kind, self, load, List.of(), List.of(), candidates, tables.all(), false));
  }

  private LoadDigest emptyLoad(int nodes, String first) {
    return new LoadDigest(
        node, incarnation, ++sequence, nodes, first, Map.of(), List.of(), Map.of());
  }

  private void addLoadMessages(
      OwnLoad own, boolean round, List<OutgoingPeerMessage> messages, long nowNanos) {
    boolean includeRelays = nowNanos - lastRelayListNanos >= RELAY_LIST_NANOS;
    List<KnownPeer> relays = includeRelays ? candidates(nowNanos) : List.of();
    if (includeRelays) {
      lastRelayListNanos = nowNanos;
    }
    boolean busy =
        !own.engines().isEmpty() || !own.crashes().isEmpty() || loads.hasMembers(nowNanos);
    boolean upward =
        !groupUpdates.isEmpty()
            || round && (busy || busyLastRound || tablesChanged)
            || nowNanos - lastUpwardNanos >= HEARTBEAT_NANOS;
    if (round) {
      busyLastRound = busy;
    }
    if (upward) {
      addUpwardMessages(own, relays, messages, nowNanos);
    }
    addViewMessages(own, round, relays, messages, nowNanos);
  }

  private List<KnownPeer> candidates(long nowNanos) {
    return directory.withAges(ranking.candidates(), nowNanos);
  }

  /** Adds the report to this node's relay or, from a relay, the messages to the other relays. */
  private void addUpwardMessages(
      OwnLoad own, List<KnownPeer> relays, List<OutgoingPeerMessage> messages, long nowNanos) {
    lastUpwardNanos = nowNanos;
    lastSentNanos = nowNanos;
    LoadDigest group = loads.group(digest(own, groupUpdates.takePrompts()), nowNanos);
    List<CacheListing> listings = groupUpdates.takeListings(nowNanos);
    KnownVersions versions = upwardVersions.next(tablesChanged, nowNanos);
    boolean reports = relay.isPresent();
    PeerMessage message =
        new PeerMessage(
                reports ? MessageKind.REPORT : MessageKind.GROUP,
                self,
                group,
                listings,
                own.crashes(),
                reports ? List.of() : relays,
                versions,
                reports && wantsListings)
            .withStreams(new StreamReport(own.versions(), groupUpdates.takeOrigins()));
    if (reports) {
      messages.add(new OutgoingPeerMessage(relay.get().address(), message));
      return;
    }
    if (!directory.anyHeard(nowNanos)) {
      // Others would take a node that hears none for a relay, and report to it in vain.
      return;
    }
    Optional<NetworkAddress> source = wantsListings ? firstHeard(nowNanos) : Optional.empty();
    for (NetworkAddress target : relayTargets(nowNanos)) {
      boolean asked = source.filter(target::equals).isPresent();
      messages.add(new OutgoingPeerMessage(target, asked ? message.askingForListings() : message));
    }
  }

  private Optional<NetworkAddress> firstHeard(long nowNanos) {
    return relayTargets(nowNanos).stream()
        .filter(target -> directory.heardRecently(target, nowNanos))
        .findFirst();
  }

  /** The known relays, and all that consider themselves relays and send this node their group. */
  private Set<NetworkAddress> relayTargets(long nowNanos) {
    Set<NetworkAddress> targets = new LinkedHashSet<>();
    ranking.relays().stream()
        .filter(peer -> !peer.equals(self))
        .forEach(peer -> targets.add(peer.address()));
    targets.addAll(loads.senders(PeerLoads.Source.RELAY, nowNanos));
    return targets;
  }

  private void addViewMessages(
      OwnLoad own,
      boolean round,
      List<KnownPeer> relays,
      List<OutgoingPeerMessage> messages,
      long nowNanos) {
    if (!loads.hasMembers(nowNanos)) {
      viewUpdates.clear();
      return;
    }
    if (!round && !tablesChangedForMembers && viewUpdates.isEmpty() && own.crashes().isEmpty()) {
      return;
    }
    lastSentNanos = nowNanos;
    LoadDigest ownDigest = digest(own, viewUpdates.takePrompts());
    KnownVersions versions = memberVersions.next(tablesChangedForMembers, nowNanos);
    List<CacheListing> listings = viewUpdates.takeListings(nowNanos);
    StreamReport streams = new StreamReport(own.versions(), viewUpdates.takeOrigins());
    loads
        .views(ownDigest, nowNanos)
        .forEach(
            (member, view) ->
                messages.add(
                    new OutgoingPeerMessage(
                        member,
                        new PeerMessage(
                                MessageKind.VIEW,
                                self,
                                view,
                                listings,
                                own.crashes(),
                                relays,
                                versions,
                                false)
                            .withStreams(streams))));
  }

  private LoadDigest digest(OwnLoad own, List<PlacedPrompt> prompts) {
    String first = own.mayOrder() ? node : "";
    return new LoadDigest(
            node, incarnation, ++sequence, 1, first, own.engines(), prompts, own.speeds())
        .withBudgets(own.budgets());
  }
}
