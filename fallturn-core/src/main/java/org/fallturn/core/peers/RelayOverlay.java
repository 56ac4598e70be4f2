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
import org.fallturn.core.usage.UsageCounts;

/**
 * Says what this node tells whom, and takes what others tell. A node reports to one relay, which
 * tells it what all others have; relays tell each other what they and those that report to them
 * have. Where there are few nodes all are relays.
 *
 * <p>Invariants: what a node has is told on by the one relay that it reports to, so that no sum
 * holds it twice for longer than {@link PeerLoads} believes a message; a report goes only to a node
 * that ranks before its sender, so that no sum comes back to whom it is from; what a relay tells a
 * node leaves out what that node reported. Only the dispatch thread calls.
 */
public final class RelayOverlay {

  /** A turn: how often what has changed is told. */
  private static final long TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Three messages of a relay may be lost before it is left. */
  private static final long RELAY_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

  /** A pause of this node's own says nothing about the silence of others. */
  private static final long OWN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** A node with nothing to tell tells so, as a fifth of how long it is believed. */
  private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** News goes at once from a node that speaks only for itself, else gathered for a while. */
  private static final long NEWS_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private static final long GATHERED_NEWS_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Longer than it takes until relays have told whom they hear. */
  private static final long PROMOTION_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final long TELL_RELAYS_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Only a node that has just started pollsEngine, and the store does not answer. */
  private static final long LIST_ASKABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Greetings heal a fleet that was cut into parts, and let a node be found that all forgot. */
  private static final long GREET_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private static final long GREET_ALONE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** A node that asked for listings is sent them again at most this often. */
  private static final long LISTINGS_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Nodes that are told what all count: a store may turn a third of the nodes away at once. */
  private static final int COLLECTORS = 3;

  private static final String COLLECT = "collect";

  private final PeerInfo self;
  private final String node;
  private final long incarnation;
  private final List<NetworkAddress> seeds;
  private final PeerLoads loads;
  private final PeerDirectory directory;
  private final TableVersions tables;
  private final News groupNews = new News();
  private final News viewNews = new News();
  private final Map<NetworkAddress, Long> toldListingsAt = new HashMap<>();
  private final Set<NetworkAddress> listingRequests = new LinkedHashSet<>();
  private final Set<NetworkAddress> welcome = new LinkedHashSet<>();
  private volatile boolean relaying = true;
  private boolean ranksAsRelay;
  private long ranksAsRelaySinceNanos;
  private Set<PeerInfo> ranked = Set.of();
  private int rankedNodes = 1;
  private long listedAskableNanos;
  private volatile RelayRanking ranking;
  private List<PeerInfo> collectors = List.of();
  private Optional<PeerInfo> relay = Optional.empty();
  private long relaySinceNanos;
  private boolean busyLastTurn;
  private boolean begun;
  private boolean urgent;
  private boolean wantsListings;
  private long lastCallNanos;
  private long lastTurnNanos;
  private long lastSentNanos;
  private long lastUpwardNanos;
  private long lastRelaysNanos;
  private long lastGreetingNanos;
  private long sequence;
  private final NodeCount count;
  private boolean tableNews;
  private boolean memberTableNews;
  private final TableVersionPublisher upwardTeller;
  private final TableVersionPublisher memberTeller;
  private volatile WatchOrder watchOrder;
  private volatile List<NetworkAddress> askable = List.of();

  /**
   * Knowledge of a node that knows only its seeds.
   *
   * @param incarnation rises with each start of the node's process
   * @param beganNanos now
   * @param loads takes what other nodes have at the engines
   */
  public RelayOverlay(
      PeerInfo self,
      String node,
      long incarnation,
      Collection<NetworkAddress> seeds,
      PeerLoads loads,
      long beganNanos) {
    this.self = self;
    this.node = node;
    this.incarnation = incarnation;
    this.seeds = seeds.stream().filter(seed -> !seed.equals(self.address())).distinct().toList();
    this.loads = loads;
    this.directory = new PeerDirectory(self);
    this.tables = new TableVersions(node);
    this.upwardTeller = new TableVersionPublisher(tables);
    this.memberTeller = new TableVersionPublisher(tables);
    rankAs(new RelayRanking(self, List.of(), 1));
    this.watchOrder = WatchOrder.ofOne(!this.seeds.isEmpty());
    this.count = new NodeCount(beganNanos);
  }

  /** Takes a message. The caller passes on what it says of prompts, speeds and listings. */
  public void onMessage(PeerMessage message, long nowNanos) {
    if (message.kind() == MessageKind.USAGE) {
      return;
    }
    PeerInfo sender = message.sender();
    if (message.kind() != MessageKind.GREETING) {
      directory.onHeard(sender, nowNanos);
    }
    message.relays().forEach(told -> directory.onPeerReport(told, nowNanos));
    boolean news = tables.onPeerReport(message.tables(), nowNanos) && relaying;
    memberTableNews |= news;
    tableNews |= news && message.kind() != MessageKind.GROUP;
    if (message.wantsListings()) {
      onListingsWanted(sender.address(), nowNanos);
    }
    takeLoad(message, nowNanos);
    takeNews(message, nowNanos);
  }

  private void takeLoad(PeerMessage message, long nowNanos) {
    NetworkAddress speaker = message.sender().address();
    if (message.kind() == MessageKind.GREETING) {
      welcome.add(speaker);
    } else if (message.kind() == MessageKind.WELCOME) {
      count.onPeerReport(message.load().nodes(), nowNanos);
    }
    boolean strangersView = message.kind() == MessageKind.VIEW && !isRelay(message.sender());
    if (!strangersView) {
      message
          .kind()
          .source()
          .ifPresent(source -> loads.onDigest(message.load(), source, speaker, nowNanos));
    }
  }

  private boolean isRelay(PeerInfo sender) {
    return relay.isPresent() && relay.get().address().equals(sender.address());
  }

  /** What a node told a relay goes on to the other relays; what relays told, to members only. */
  private void takeNews(PeerMessage message, long nowNanos) {
    if (message.kind() == MessageKind.WELCOME) {
      return;
    }
    if (message.kind() == MessageKind.REPORT) {
      groupNews.addPrompts(message.load().prompts());
      groupNews.addListings(message.listings(), nowNanos);
    }
    viewNews.addPrompts(message.load().prompts());
    viewNews.addListings(message.listings(), nowNanos);
  }

  private void onListingsWanted(NetworkAddress asker, long nowNanos) {
    toldListingsAt.values().removeIf(at -> nowNanos - at >= LISTINGS_PAUSE_NANOS);
    if (!toldListingsAt.containsKey(asker)) {
      listingRequests.add(asker);
    }
  }

  /** Prompts that this node placed. */
  public void addPrompts(Collection<PlacedPrompt> placed) {
    groupNews.addPrompts(placed);
    viewNews.addPrompts(placed);
  }

  /** What an engine told this node. */
  public void addListing(CacheListing listing, long nowNanos) {
    groupNews.addListings(List.of(listing), nowNanos);
    viewNews.addListings(List.of(listing), nowNanos);
  }

  /** Something has changed that others should know at once, not only by the next turn. */
  public void onUrgentChange() {
    urgent = true;
  }

  /** Whether this node pollsEngine others for all that they know of what engines keep. */
  public void setWantsListings(boolean wanted) {
    wantsListings = wanted;
  }

  /** Whether a node has asked for all listings; the answer is {@link #answerListings}. */
  public boolean hasListingRequests() {
    return !listingRequests.isEmpty();
  }

  /** The messages that answer the nodes that asked for all listings. */
  public List<OutgoingPeerMessage> answerListings(Collection<CacheListing> all, long nowNanos) {
    News news = new News();
    news.addListings(all, nowNanos);
    List<OutgoingPeerMessage> answers = new ArrayList<>();
    while (!news.isEmpty()) {
      PeerMessage message =
          new PeerMessage(
              MessageKind.WELCOME,
              self,
              digest(new OwnLoad(Map.of(), Map.of(), List.of(), true), List.of()),
              news.takeListings(nowNanos),
              List.of(),
              List.of(),
              tables.all(),
              false);
      listingRequests.forEach(asker -> answers.add(new OutgoingPeerMessage(asker, message)));
    }
    listingRequests.forEach(asker -> toldListingsAt.put(asker, nowNanos));
    listingRequests.clear();
    return answers;
  }

  /** Whether this node is the one that pollsEngine an engine what it keeps, as far as it knows. */
  public boolean pollsEngine(String engineId, long nowNanos) {
    if (!relaying || !directory.anyHeard(nowNanos) && !seeds.isEmpty()) {
      return false;
    }
    long own = RendezvousHash.weight(engineId, self.address().toString());
    return ranking.relays().stream()
        .map(peer -> RendezvousHash.weight(engineId, peer.address().toString()))
        .noneMatch(weight -> Long.compareUnsigned(weight, own) > 0);
  }

  /** Nodes of the last minute, this one included; empty while none of several was heard. */
  public OptionalInt conservativeNodeCount(long nowNanos) {
    count.onHeard(loads.nodeCount(nowNanos), nowNanos);
    if (count.highest() <= 1) {
      return seeds.isEmpty() ? OptionalInt.of(1) : OptionalInt.empty();
    }
    return OptionalInt.of(Math.max(count.highest(), 1 + seeds.size()));
  }

  /** The newest changes that any node has seen; any thread may use it. */
  public TableVersions tables() {
    return tables;
  }

  /** This node's place among those that watch the store; any thread may call. */
  public WatchOrder watchOrder() {
    return watchOrder;
  }

  private WatchOrder orderWatchers(long nowNanos) {
    return directory.anyHeard(nowNanos)
        ? ranking.watchOrder(relay, Math.max(count.highest(), loads.nodeCount(nowNanos)))
        : WatchOrder.ofOne(!seeds.isEmpty());
  }

  /** Whether a change of a table was learned that others should hear of at once. */
  public boolean hasUnsentTableVersions() {
    return tableNews || memberTableNews;
  }

  /** Whether other nodes tell this one what they count, so that it may report it for all. */
  public boolean collects() {
    return collectors.contains(self);
  }

  /** Few of the relays collect: whoever knows the same nodes tells the same. */
  private void rankAs(RelayRanking newRanking) {
    ranking = newRanking;
    collectors = newRanking.relaysFor(COLLECT).stream().limit(COLLECTORS).toList();
  }

  /** The messages by which this node tells what it has counted. */
  public List<OutgoingPeerMessage> usageMessages(UsageCounts news) {
    LoadDigest nothing =
        new LoadDigest(node, incarnation, ++sequence, 1, "", Map.of(), List.of(), Map.of());
    PeerMessage message =
        new PeerMessage(
            MessageKind.USAGE,
            self,
            nothing,
            List.of(),
            List.of(),
            List.of(),
            Map.of(),
            Optional.of(news),
            false);
    return collectors.stream()
        .filter(collector -> !collector.equals(self))
        .map(collector -> new OutgoingPeerMessage(collector.address(), message))
        .toList();
  }

  /** Rises with each start of this node's process. */
  public long incarnation() {
    return incarnation;
  }

  /** Whether other nodes hear of the fleet only from this one. */
  public boolean hasMembers(long nowNanos) {
    return loads.hasMembers(nowNanos);
  }

  /** Some nodes heard lately, else the seeds; any thread may call. */
  public List<NetworkAddress> askable() {
    List<NetworkAddress> heard = askable;
    return heard.isEmpty() ? seeds : heard;
  }

  /** Whether this node relays, as far as it knows; any thread may call. */
  public boolean isRelay() {
    return relaying;
  }

  /** The count of nodes that was given last, 1 before; any thread may call. */
  public int nodeCount() {
    return Math.max(1, count.highest());
  }

  /** What is to be told now; called at each tick, and when there is news. */
  public List<OutgoingPeerMessage> due(Supplier<OwnLoad> own, long nowNanos) {
    tableNews |= tables.takeNews();
    memberTableNews |= tableNews;
    boolean turn = !begun || urgent || tableNews || nowNanos - lastTurnNanos >= TURN_NANOS;
    if (begun && nowNanos - lastCallNanos >= OWN_PAUSE_NANOS) {
      relaySinceNanos = nowNanos;
    }
    lastCallNanos = nowNanos;
    List<OutgoingPeerMessage> messages = new ArrayList<>();
    if (turn) {
      begun = true;
      urgent = false;
      lastTurnNanos = nowNanos;
      rank(nowNanos);
      greet(messages, nowNanos);
    }
    if (turn || memberTableNews || newsIsDue(nowNanos)) {
      tell(own.get(), turn, messages, nowNanos);
      tableNews = false;
      memberTableNews = false;
    }
    return messages;
  }

  private boolean newsIsDue(long nowNanos) {
    if (groupNews.isEmpty() && viewNews.isEmpty()) {
      return false;
    }
    boolean alone = !loads.hasMembers(nowNanos);
    if (groupNews.isEmpty() && alone) {
      return false;
    }
    return nowNanos - lastSentNanos >= (alone ? NEWS_PAUSE_NANOS : GATHERED_NEWS_PAUSE_NANOS);
  }

  private void rank(long nowNanos) {
    leaveSilentRelay(nowNanos);
    rankAnewWhenNodesChanged(nowNanos);
    relaying = mayRelay(nowNanos);
    Optional<PeerInfo> chosen = relaying ? Optional.empty() : ranking.relayOfThisNode();
    boolean stays = relay.isPresent() && ranking.relays().contains(relay.get());
    if (chosen.isEmpty() || !stays) {
      if (!chosen.equals(relay)) {
        relaySinceNanos = nowNanos;
      }
      relay = chosen;
    }
    watchOrder = orderWatchers(nowNanos);
    if (nowNanos - listedAskableNanos >= LIST_ASKABLE_NANOS) {
      listedAskableNanos = nowNanos;
      askable = directory.heard(nowNanos);
    }
  }

  /**
   * Whether this node relays now. One that did not waits until it has ranked so for a while, since
   * it may merely have ceased to hear of others; at once where there is no other.
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

  private void rankAnewWhenNodesChanged(long nowNanos) {
    List<PeerInfo> known = directory.known(nowNanos);
    int nodes = loads.nodeCount(nowNanos);
    boolean same = known.size() == ranked.size() && ranked.containsAll(known);
    if (nodes != rankedNodes || !same) {
      ranked = Set.copyOf(known);
      rankedNodes = nodes;
      rankAs(new RelayRanking(self, known, nodes));
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

  private void greet(List<OutgoingPeerMessage> messages, long nowNanos) {
    boolean alone = !directory.anyHeard(nowNanos);
    long pause = alone ? GREET_ALONE_NANOS : GREET_NANOS;
    if (lastGreetingNanos == 0 || nowNanos - lastGreetingNanos >= pause) {
      lastGreetingNanos = nowNanos;
      if (alone) {
        seeds.forEach(seed -> messages.add(greeting(MessageKind.GREETING, seed, nowNanos)));
      }
      directory
          .nextToGreet(seeds, nowNanos)
          .ifPresent(peer -> messages.add(greeting(MessageKind.GREETING, peer, nowNanos)));
    }
    welcome.forEach(peer -> messages.add(greeting(MessageKind.WELCOME, peer, nowNanos)));
    welcome.clear();
  }

  /** Says who the relays are, but nothing of load, since its target may not rank before this. */
  private OutgoingPeerMessage greeting(MessageKind kind, NetworkAddress peer, long nowNanos) {
    LoadDigest countOnly =
        new LoadDigest(
            node, incarnation, ++sequence, count.highest(), node, Map.of(), List.of(), Map.of());
    return new OutgoingPeerMessage(
        peer,
        new PeerMessage(
            kind,
            self,
            countOnly,
            List.of(),
            List.of(),
            candidates(nowNanos),
            tables.all(),
            false));
  }

  private void tell(OwnLoad own, boolean turn, List<OutgoingPeerMessage> messages, long nowNanos) {
    boolean tellRelays = nowNanos - lastRelaysNanos >= TELL_RELAYS_NANOS;
    List<KnownPeer> relays = tellRelays ? candidates(nowNanos) : List.of();
    if (tellRelays) {
      lastRelaysNanos = nowNanos;
    }
    boolean busy =
        !own.engines().isEmpty() || !own.crashes().isEmpty() || loads.hasMembers(nowNanos);
    boolean upward =
        !groupNews.isEmpty()
            || turn && (busy || busyLastTurn || tableNews)
            || nowNanos - lastUpwardNanos >= HEARTBEAT_NANOS;
    if (turn) {
      busyLastTurn = busy;
    }
    if (upward) {
      tellUpward(own, relays, messages, nowNanos);
    }
    tellMembers(own, turn, relays, messages, nowNanos);
  }

  private List<KnownPeer> candidates(long nowNanos) {
    return directory.withAges(ranking.candidates(), nowNanos);
  }

  /** To the relay of this node, or as a relay to the others. */
  private void tellUpward(
      OwnLoad own, List<KnownPeer> relays, List<OutgoingPeerMessage> messages, long nowNanos) {
    lastUpwardNanos = nowNanos;
    lastSentNanos = nowNanos;
    LoadDigest group = loads.group(digest(own, groupNews.takePrompts()), nowNanos);
    List<CacheListing> listings = groupNews.takeListings(nowNanos);
    Map<String, Long> versions = upwardTeller.next(tableNews, nowNanos);
    if (relay.isPresent()) {
      PeerMessage report =
          new PeerMessage(
              MessageKind.REPORT,
              self,
              group,
              listings,
              own.crashes(),
              List.of(),
              versions,
              wantsListings);
      messages.add(new OutgoingPeerMessage(relay.get().address(), report));
      return;
    }
    if (!directory.anyHeard(nowNanos)) {
      // Whoever hears nobody cannot be heard to relay: the others would report to it in vain.
      return;
    }
    PeerMessage toOthers =
        new PeerMessage(
            MessageKind.GROUP, self, group, listings, own.crashes(), relays, versions, false);
    Optional<NetworkAddress> asked = wantsListings ? firstHeard(nowNanos) : Optional.empty();
    for (NetworkAddress target : relayTargets(nowNanos)) {
      boolean pollsEngine = asked.filter(target::equals).isPresent();
      messages.add(
          new OutgoingPeerMessage(target, pollsEngine ? toOthers.askingForListings() : toOthers));
    }
  }

  private Optional<NetworkAddress> firstHeard(long nowNanos) {
    return relayTargets(nowNanos).stream()
        .filter(target -> directory.heardLately(target, nowNanos))
        .findFirst();
  }

  /** The relays that are known, and whoever takes itself for one and tells this node so. */
  private Set<NetworkAddress> relayTargets(long nowNanos) {
    Set<NetworkAddress> targets = new LinkedHashSet<>();
    ranking.relays().stream()
        .filter(peer -> !peer.equals(self))
        .forEach(peer -> targets.add(peer.address()));
    targets.addAll(loads.senders(PeerLoads.Source.RELAY, nowNanos));
    return targets;
  }

  private void tellMembers(
      OwnLoad own,
      boolean turn,
      List<KnownPeer> relays,
      List<OutgoingPeerMessage> messages,
      long nowNanos) {
    if (!loads.hasMembers(nowNanos)) {
      viewNews.clear();
      return;
    }
    if (!turn && !memberTableNews && viewNews.isEmpty() && own.crashes().isEmpty()) {
      return;
    }
    lastSentNanos = nowNanos;
    LoadDigest told = digest(own, viewNews.takePrompts());
    Map<String, Long> versions = memberTeller.next(memberTableNews, nowNanos);
    List<CacheListing> listings = viewNews.takeListings(nowNanos);
    loads
        .views(told, nowNanos)
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
                            false))));
  }

  private LoadDigest digest(OwnLoad own, List<PlacedPrompt> prompts) {
    String first = own.mayOrder() ? node : "";
    return new LoadDigest(
            node, incarnation, ++sequence, 1, first, own.engines(), prompts, own.speeds())
        .withBudgets(own.budgets());
  }
}
