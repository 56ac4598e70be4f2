package org.fallturn.node.configuration;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.PropagationTree;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.membership.Member;
import org.fallturn.node.duty.DutyHandler;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;

/**
 * Applies accepted changes and passes them on. A node that learns a version from the table or
 * commits it starts a push along the zone's {@link PropagationTree}; whoever is missed by the push
 * sees a higher version in gossip and fetches from a peer. Runs on its own duty thread and never
 * blocks.
 */
final class DistributionDuty implements DutyHandler<DistributionEvent> {

  private static final int MAX_PUSHED_BYTES = 8 * 1024;
  private static final int ENTRIES_PER_ZONE = 2;
  private static final int REMEMBERED_VERSIONS = 256;

  private final AppliedConfiguration applied;
  private final ZoneNodes nodes;
  private final ConfigurationOptions options;
  private final JsonHttpClient client;
  private final JsonCodec codec;
  private final Consumer<DistributionEvent> self;
  private final Set<Long> enteredVersions = remembered();
  private final Set<Long> forwardedVersions = remembered();
  private Optional<PeerMessages.Push> waiting = Optional.empty();
  private long fetchEndsNanos = System.nanoTime();
  private long nextCatchUpNanos = System.nanoTime();

  /**
   * @param self takes events for this duty itself
   */
  DistributionDuty(
      AppliedConfiguration applied,
      ZoneNodes nodes,
      ConfigurationOptions options,
      JsonHttpClient client,
      JsonCodec codec,
      Consumer<DistributionEvent> self) {
    this.applied = applied;
    this.nodes = nodes;
    this.options = options;
    this.client = client;
    this.codec = codec;
    this.self = self;
  }

  @Override
  public void onEvent(DistributionEvent event) {
    if (event instanceof DistributionEvent.Learned learned) {
      onLearned(learned);
    } else if (event instanceof DistributionEvent.Pushed pushed) {
      onPushed(pushed.push());
    } else if (event instanceof DistributionEvent.PushFailed failed) {
      sendToChildrenOf(failed.child(), failed.push());
    } else if (event instanceof DistributionEvent.FetchEnded ended) {
      onFetchEnded(ended.fetched());
    }
  }

  @Override
  public void onTick() {
    long now = System.nanoTime();
    if (now - nextCatchUpNanos < 0) {
      return;
    }
    nextCatchUpNanos = now + options.watchInterval().toNanos();
    List<Member> ahead = nodes.membersAhead(applied.image().version());
    if (!ahead.isEmpty()) {
      fetchFrom(ahead.get(0).peerAddress());
    } else if (!applied.isLoaded()) {
      nodes.anyOthers().stream().findFirst().ifPresent(this::fetchFrom);
    }
  }

  private void onLearned(DistributionEvent.Learned learned) {
    boolean installed = applied.install(learned.base());
    boolean changed = applied.apply(learned.tail()) || installed;
    applied.markLoaded();
    learned.whenApplied().run();
    if (!changed && !learned.committedHere()) {
      return;
    }
    PeerMessages.Push push = pushOf(learned.tail());
    enterZone(push);
    if (learned.committedHere()) {
      enterOtherZones(push);
    }
    resumeWaiting();
  }

  private void onPushed(PeerMessages.Push push) {
    applied.apply(push.deltas());
    if (applied.image().version() < push.version()) {
      waiting = Optional.of(push);
      fetchFrom(push.from());
    } else {
      passOn(push);
      resumeWaiting();
    }
  }

  private void onFetchEnded(PeerMessages.Fetched fetched) {
    fetchEndsNanos = System.nanoTime();
    if (fetched == null || !fetched.loaded()) {
      return;
    }
    applied.install(fetched.image().orElse(ConfigurationImage.EMPTY));
    applied.apply(fetched.deltas());
    applied.markLoaded();
    resumeWaiting();
  }

  private void resumeWaiting() {
    if (waiting.isPresent() && waiting.get().version() <= applied.image().version()) {
      PeerMessages.Push push = waiting.get();
      waiting = Optional.empty();
      passOn(push);
    }
  }

  private void passOn(PeerMessages.Push push) {
    if (push.entersZone()) {
      enterZone(push);
    } else if (forwardedVersions.add(push.version())) {
      sendToChildrenOf(nodes.self().node(), push);
    }
  }

  private void enterZone(PeerMessages.Push push) {
    if (!enteredVersions.add(push.version())) {
      return;
    }
    for (NodeId root : new PropagationTree(nodes.zone(), push.version()).root()) {
      if (!root.equals(nodes.self().node())) {
        send(root, push);
      } else if (forwardedVersions.add(push.version())) {
        sendToChildrenOf(root, push);
      }
    }
  }

  private void enterOtherZones(PeerMessages.Push push) {
    PeerMessages.Push entering =
        new PeerMessages.Push(push.version(), push.deltas(), push.from(), true);
    for (List<NetworkAddress> zone : nodes.otherZones().values()) {
      zone.stream()
          .limit(ENTRIES_PER_ZONE)
          .forEach(
              address ->
                  client.post(
                      address,
                      PeerMessages.PUSH_PATH,
                      entering,
                      PeerMessages.Version.class,
                      options.callTimeout()));
    }
  }

  private void sendToChildrenOf(NodeId node, PeerMessages.Push push) {
    PropagationTree tree = new PropagationTree(nodes.zone(), push.version());
    for (NodeId child : tree.childrenOf(node)) {
      if (child.equals(nodes.self().node())) {
        passOn(push);
      } else {
        send(child, push);
      }
    }
  }

  private void send(NodeId node, PeerMessages.Push received) {
    Member member = nodes.othersInZone().get(node);
    if (member == null) {
      return;
    }
    PeerMessages.Push push =
        new PeerMessages.Push(
            received.version(), received.deltas(), nodes.self().peerAddress(), false);
    client
        .post(
            member.peerAddress(),
            PeerMessages.PUSH_PATH,
            push,
            PeerMessages.Version.class,
            options.callTimeout())
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                self.accept(new DistributionEvent.PushFailed(node, push));
              }
            });
  }

  private void fetchFrom(NetworkAddress address) {
    long now = System.nanoTime();
    if (now - fetchEndsNanos < 0) {
      return;
    }
    fetchEndsNanos = now + options.callTimeout().toNanos();
    client
        .post(
            address,
            PeerMessages.FETCH_PATH,
            new PeerMessages.Fetch(applied.image().version()),
            PeerMessages.Fetched.class,
            options.callTimeout())
        .whenComplete(
            (fetched, failure) ->
                self.accept(new DistributionEvent.FetchEnded(failure == null ? fetched : null)));
  }

  private PeerMessages.Push pushOf(List<ConfigurationDelta> tail) {
    boolean small = codec.encode(tail).length <= MAX_PUSHED_BYTES;
    return new PeerMessages.Push(
        applied.image().version(), small ? tail : List.of(), nodes.self().peerAddress(), false);
  }

  private static Set<Long> remembered() {
    Map<Long, Boolean> versions =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > REMEMBERED_VERSIONS;
          }
        };
    return Collections.newSetFromMap(versions);
  }
}
