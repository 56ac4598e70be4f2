package org.fallturn.core.peers;

import java.util.List;
import java.util.Optional;
import org.fallturn.core.dispatch.CacheListing;
import org.fallturn.core.dispatch.LoadDigest;
import org.fallturn.core.quarantine.CrashReport;
import org.fallturn.core.streams.StreamReport;
import org.fallturn.core.usage.UsageCounts;

/**
 * A message between nodes. Immutable.
 *
 * @param kind its purpose
 * @param sender the node that sends it
 * @param load the load of the nodes that the message covers, and placed prompts
 * @param listings what engines reported to hold in their caches
 * @param crashes contents that may crash engines
 * @param relays relays and their possible successors; empty in most messages
 * @param tables what the sender knows of the followed tables
 * @param usage the sender's usage counts; empty in all messages of other kinds
 * @param streams where streams began, and at which software versions they can have begun
 * @param wantsListings whether the sender asks for all known cache listings
 */
public record PeerMessage(
    MessageKind kind,
    PeerInfo sender,
    LoadDigest load,
    List<CacheListing> listings,
    List<CrashReport> crashes,
    List<KnownPeer> relays,
    KnownVersions tables,
    Optional<UsageCounts> usage,
    StreamReport streams,
    boolean wantsListings) {

  /** Creates a message without usage counts and streams. */
  public PeerMessage(
      MessageKind kind,
      PeerInfo sender,
      LoadDigest load,
      List<CacheListing> listings,
      List<CrashReport> crashes,
      List<KnownPeer> relays,
      KnownVersions tables,
      boolean wantsListings) {
    this(
        kind,
        sender,
        load,
        listings,
        crashes,
        relays,
        tables,
        Optional.empty(),
        StreamReport.NONE,
        wantsListings);
  }

  /** Creates a message that contains usage counts and nothing else. */
  static PeerMessage ofUsage(PeerInfo sender, LoadDigest empty, UsageCounts usage) {
    return new PeerMessage(
        MessageKind.USAGE,
        sender,
        empty,
        List.of(),
        List.of(),
        List.of(),
        KnownVersions.none(),
        Optional.of(usage),
        StreamReport.NONE,
        false);
  }

  /** Returns this message with a report on streams. */
  public PeerMessage withStreams(StreamReport report) {
    return new PeerMessage(
        kind, sender, load, listings, crashes, relays, tables, usage, report, wantsListings);
  }

  /** Returns this message with a request for all cache listings. */
  PeerMessage askingForListings() {
    return new PeerMessage(
        kind, sender, load, listings, crashes, relays, tables, usage, streams, true);
  }

  /** Copies the collections. */
  public PeerMessage {
    listings = List.copyOf(listings);
    crashes = List.copyOf(crashes);
    relays = List.copyOf(relays);
  }
}
