package org.fallturn.node.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.membership.Member;
import org.fallturn.node.http.JsonHttpClient;

/**
 * Counts the nodes that have a version in force. Each zone is counted by one of its own nodes: from
 * its membership view, and by asking those members whose version in the view is still older.
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
    List<Member> behind = new ArrayList<>();
    Map<?, Member> others = nodes.othersInZone();
    if (applied.image().version() < version) {
      laggards.add(nodes.self().node().value());
    }
    for (Member member : others.values()) {
      if (member.configurationVersion() < version) {
        behind.add(member);
      }
    }
    int total = others.size() + 1;
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

  private CompletableFuture<List<String>> askDirectly(List<Member> behind, long version) {
    List<CompletableFuture<Boolean>> answers = new ArrayList<>();
    for (Member member : behind) {
      answers.add(
          answers.size() < MAX_ASKED_DIRECTLY
              ? hasVersion(member, version)
              : CompletableFuture.completedFuture(false));
    }
    return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
        .thenApply(
            done -> {
              List<String> laggards = new ArrayList<>();
              for (int index = 0; index < answers.size(); index++) {
                if (!answers.get(index).join()) {
                  laggards.add(behind.get(index).node().value());
                }
              }
              return laggards;
            });
  }

  private CompletableFuture<Boolean> hasVersion(Member member, long version) {
    return client
        .get(
            member.peerAddress(),
            PeerMessages.VERSION_PATH,
            PeerMessages.Version.class,
            callTimeout)
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
