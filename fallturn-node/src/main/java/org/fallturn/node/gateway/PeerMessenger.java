package org.fallturn.node.gateway;

import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fallturn.core.dispatch.CacheListing;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.peers.OutgoingPeerMessage;
import org.fallturn.core.peers.OwnLoad;
import org.fallturn.core.peers.PeerMessage;
import org.fallturn.core.peers.RelayOverlay;
import org.fallturn.core.usage.UsageCounts;

/**
 * The dispatch duty's part in what nodes sendDue each other: passes on what is heard to whoever
 * believes it, and sends what is due. Only the dispatch thread calls.
 */
final class PeerMessenger {

  private static final long COUNT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final RelayOverlay overlay;
  private final Dispatcher dispatcher;
  private final CacheSurvey survey;
  private final Consumer<List<OutgoingPeerMessage>> sender;
  private long countedNanos;

  PeerMessenger(
      RelayOverlay overlay,
      Dispatcher dispatcher,
      CacheSurvey survey,
      Consumer<List<OutgoingPeerMessage>> sender) {
    this.overlay = overlay;
    this.dispatcher = dispatcher;
    this.survey = survey;
    this.sender = sender;
    dispatcher.setNodeCount(overlay.conservativeNodeCount(System.nanoTime()));
  }

  /** Another node spoke. */
  void onMessage(PeerMessage message, long nowNanos) {
    overlay.onMessage(message, nowNanos);
    dispatcher.fleet().onPeerReport(message.load(), nowNanos);
    message.crashes().forEach(report -> dispatcher.quarantine().onPeerReport(report, nowNanos));
    for (CacheListing listing : message.listings()) {
      dispatcher.fleet().onPeerCacheListing(listing, nowNanos);
      survey.onPeerReport(listing.engineId(), nowNanos);
    }
    if (overlay.hasUnsentTableVersions()) {
      sendDue(nowNanos);
    }
    if (overlay.hasListingRequests()) {
      sender.accept(overlay.answerListings(dispatcher.fleet().cacheListings(nowNanos), nowNanos));
    }
  }

  /** An engine told this node what it keeps. */
  void onCacheListed(DispatchEvent.CacheListed answer, long nowNanos) {
    answer
        .parts()
        .ifPresent(
            kept -> {
              long age = TimeUnit.NANOSECONDS.toMillis(nowNanos - answer.askedAtNanos());
              overlay.addListing(CacheListing.of(answer.engineId(), age, kept.parts()), nowNanos);
            });
  }

  /** Sends what is due; called at each tick, and when prompts may have been placed. */
  void sendDue(long nowNanos) {
    if (dispatcher.fleet().hasNewPrompts()) {
      overlay.addPrompts(dispatcher.fleet().takeNewPrompts());
    }
    sender.accept(
        overlay.due(
            () ->
                new OwnLoad(
                    dispatcher.fleet().ownLoads(nowNanos),
                    dispatcher.fleet().ownSpeeds(),
                    dispatcher.quarantine().takeReports(overlay.hasMembers(nowNanos), nowNanos),
                    dispatcher.stages().mayOrder(nowNanos),
                    dispatcher.ownBudgets(nowNanos)),
            nowNanos));
  }

  /** Tells the others at once. */
  void sendNow(long nowNanos) {
    overlay.onUrgentChange();
    sendDue(nowNanos);
  }

  /** Tells the nodes that collect what this one has counted. */
  void sendUsage(UsageCounts news) {
    sender.accept(overlay.usageMessages(news));
  }

  /** Takes the number of nodes, and asks engines what they keep. */
  void onTick(long nowNanos) {
    if (nowNanos - countedNanos >= COUNT_NANOS) {
      countedNanos = nowNanos;
      OptionalInt nodes = overlay.conservativeNodeCount(nowNanos);
      dispatcher.setNodeCount(nodes);
      dispatcher.stages().setCandidate(overlay.collects());
      survey.onTick(nowNanos);
      overlay.setWantsListings(survey.wantsListings(nowNanos));
    }
    sendDue(nowNanos);
  }
}
