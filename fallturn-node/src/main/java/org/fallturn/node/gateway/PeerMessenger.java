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
import org.fallturn.core.streams.StreamTracker;
import org.fallturn.core.usage.UsageCounts;

/**
 * Exchanges messages with other nodes for the dispatch duty: hands the content of a received
 * message to the parts that use it, and sends messages that are due. Only the dispatch thread
 * calls.
 */
final class PeerMessenger {

  private static final long UPDATE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final RelayOverlay overlay;
  private final Dispatcher dispatcher;
  private final CacheSurvey survey;
  private final Consumer<List<OutgoingPeerMessage>> sender;
  private long lastUpdateNanos;

  PeerMessenger(
      RelayOverlay overlay,
      Dispatcher dispatcher,
      CacheSurvey survey,
      Consumer<List<OutgoingPeerMessage>> sender) {
    this.overlay = overlay;
    this.dispatcher = dispatcher;
    this.survey = survey;
    this.sender = sender;
    updateNodeCount(System.nanoTime());
  }

  private void updateNodeCount(long nowNanos) {
    OptionalInt nodes = overlay.conservativeNodeCount(nowNanos);
    dispatcher.setNodeCount(nodes, overlay.nodeCountSettled(nowNanos));
  }

  /** Whether this node is one of the few that forward messages and act for the others. */
  boolean isRelay() {
    return overlay.isRelay();
  }

  /** Takes a message of another node. */
  void onMessage(PeerMessage message, long nowNanos) {
    overlay.onMessage(message, nowNanos);
    dispatcher.fleet().onPeerReport(message.load(), nowNanos);
    dispatcher.resumedStreams().tracker().onPeerReport(message.streams(), nowNanos);
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

  /** Takes the list of prompt parts that an engine keeps; without parts, it did not answer. */
  void onCacheListed(DispatchEvent.CacheListed answer, long nowNanos) {
    answer
        .parts()
        .ifPresent(
            listing -> {
              long age = TimeUnit.NANOSECONDS.toMillis(nowNanos - answer.askedAtNanos());
              overlay.addListing(
                  CacheListing.of(answer.engineId(), age, listing.parts()), nowNanos);
            });
  }

  /** Sends the messages that are due; called at each tick and when prompts may have been placed. */
  void sendDue(long nowNanos) {
    if (dispatcher.fleet().hasNewPrompts()) {
      overlay.addPrompts(dispatcher.fleet().takeNewPrompts());
    }
    StreamTracker streams = dispatcher.resumedStreams().tracker();
    overlay.addOrigins(streams.takeUnreported(nowNanos));
    sender.accept(
        overlay.due(
            () ->
                new OwnLoad(
                    dispatcher.fleet().ownLoads(nowNanos),
                    dispatcher.fleet().ownSpeeds(),
                    dispatcher.quarantine().takeReports(overlay.hasMembers(nowNanos), nowNanos),
                    dispatcher.stages().mayOrder(nowNanos),
                    dispatcher.ownBudgets(nowNanos),
                    streams.reportedVersions(nowNanos)),
            nowNanos));
  }

  /** Sends an urgent change to the other nodes now rather than at the next turn. */
  void sendNow(long nowNanos) {
    overlay.onUrgentChange();
    sendDue(nowNanos);
  }

  /** Sends this node's usage counts to the nodes that collect them. */
  void sendUsage(UsageCounts news) {
    sender.accept(overlay.usageMessages(news));
  }

  /**
   * Updates the number of nodes and asks engines which prompt parts they keep, both at most once
   * per {@link #UPDATE_INTERVAL_NANOS}; then sends the messages that are due.
   */
  void onTick(long nowNanos) {
    if (nowNanos - lastUpdateNanos >= UPDATE_INTERVAL_NANOS) {
      lastUpdateNanos = nowNanos;
      updateNodeCount(nowNanos);
      dispatcher.stages().setCandidate(overlay.collects());
      survey.onTick(nowNanos);
      overlay.setWantsListings(survey.wantsListings(nowNanos));
    }
    sendDue(nowNanos);
  }
}
