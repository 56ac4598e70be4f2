package org.fallturn.node.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.membership.Member;
import org.fallturn.node.http.JsonHttpClient;

/**
 * Counts the nodes that have a version in force. Each zone is counted by one of its own nodes: from
 * its membership view, and by asking those members whose version in the view is still older and
 * those nodes that only the machine list knows; of these, one that does not answer is a laggard.
 * Thread-safe; nothing blocks.
 */
final class InForceCheck {

  private static final int MAX_ASKED_DIRECTLY = 128;
  private static final int CONTACTS_TRIED = 3;

  private final AppliedConfiguration applied;
  private final ZoneNodes nodes;
  private final JsonHttpClient client;
  private final Duration callTimeout;

  InForceCheck(
      AppliedConfiguration applied, ZoneNodes nodes, JsonHttpClient client, Duration callTimeout) {
    this.applied = applied;
    this.nodes = nodes;
    this.client = client;
    this.callTimeout = callTimeout;
  }

  /** Counts the own zone. */
  CompletionStage<PeerMessages.ZoneStatus> countZone(long version) {
    List<String> laggards = new ArrayList<>();
    Map<String, NetworkAddress> behind = new TreeMap<>(nodes.listedStrangersInZone());
    int total = nodes.zone().size() + behind.size();
    if (applied.image().version() < version) {
      laggards.add(nodes.self().node().value());
    }
    for (Member member : nodes.othersInZone().values()) {
      if (member.configurationVersion() < version) {
        behind.put(member.node().value(), member.peerAddress());
      }
    }
    return askDirectly(behind, version)
        .thenApply(
            stillBehind -> {
              laggards.addAll(stillBehind);
              return new PeerMessages.ZoneStatus(nodes.self().zone(), total, laggards);
            });
  }

  /** Counts every zone that is known. */
  CompletionStage<InForceReport> countFleet(long version) {
    List<CompletableFuture<ZoneAnswer>> answers = new ArrayList<>();
    answers.add(
        countZone(version)
            .thenApply(status -> new ZoneAnswer(nodes.self().zone(), status))
            .toCompletableFuture());
    nodes
        .otherZones()
        .forEach((zone, contacts) -> answers.add(askZone(zone, contacts, 0, version)));
    return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
        .thenApply(done -> sum(version, answers.stream().map(CompletableFuture::join).toList()));
  }

  private CompletableFuture<ZoneAnswer> askZone(
      ZoneName zone, List<NetworkAddress> contacts, int index, long version) {
    if (index >= Math.min(contacts.size(), CONTACTS_TRIED)) {
      return CompletableFuture.completedFuture(new ZoneAnswer(zone, null));
    }
    return client
        .post(
            contacts.get(index),
            PeerMessages.STATUS_PATH,
            new PeerMessages.StatusRequest(version),
            PeerMessages.ZoneStatus.class,
            callTimeout.multipliedBy(2))
        .handle(
            (status, failure) ->
                failure == null
                    ? CompletableFuture.completedFuture(new ZoneAnswer(zone, status))
                    : askZone(zone, contacts, index + 1, version))
        .thenCompose(next -> next);
  }

  private CompletableFuture<List<String>> askDirectly(
      Map<String, NetworkAddress> behind, long version) {
    Map<String, CompletableFuture<Boolean>> answers = new TreeMap<>();
    behind.forEach(
        (node, address) ->
            answers.put(
                node,
                answers.size() < MAX_ASKED_DIRECTLY
                    ? hasVersion(address, version)
                    : CompletableFuture.completedFuture(false)));
    return CompletableFuture.allOf(answers.values().toArray(CompletableFuture[]::new))
        .thenApply(
            done ->
                answers.entrySet().stream()
                    .filter(entry -> !entry.getValue().join())
                    .map(Map.Entry::getKey)
                    .toList());
  }

  private CompletableFuture<Boolean> hasVersion(NetworkAddress address, long version) {
    return client
        .get(address, PeerMessages.VERSION_PATH, PeerMessages.Version.class, callTimeout)
        .handle((answer, failure) -> failure == null && answer.version() >= version);
  }

  private static InForceReport sum(long version, List<ZoneAnswer> answers) {
    int total = 0;
    List<String> laggards = new ArrayList<>();
    List<ZoneName> missing = new ArrayList<>();
    for (ZoneAnswer answer : answers) {
      if (answer.status() == null) {
        missing.add(answer.zone());
      } else {
        total += answer.status().nodes();
        laggards.addAll(answer.status().laggards());
      }
    }
    return new InForceReport(version, total - laggards.size(), total, laggards, missing);
  }

  /** What a zone answered; a null status means that no contact did. */
  private record ZoneAnswer(ZoneName zone, PeerMessages.ZoneStatus status) {}
}
