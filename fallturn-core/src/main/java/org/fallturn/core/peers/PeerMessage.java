package org.fallturn.core.peers;

import java.util.List;
import java.util.Optional;
import org.fallturn.core.dispatch.CacheListing;
import org.fallturn.core.dispatch.LoadDigest;
import org.fallturn.core.quarantine.CrashReport;
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
    boolean wantsListings) {

  /** Creates a message without usage counts. */
  public PeerMessage(
      MessageKind kind,
      PeerInfo sender,
      LoadDigest load,
      List<CacheListing> listings,
      List<CrashReport> crashes,
      List<KnownPeer> relays,
      KnownVersions tables,
      boolean wantsListings) {
    this(kind, sender, load, listings, crashes, relays, tables, Optional.empty(), wantsListings);
  }

  /** Returns this message with a request for all cache listings. */
  PeerMessage askingForListings() {
    return new PeerMessage(kind, sender, load, listings, crashes, relays, tables, usage, true);
  }

  /** Copies the collections. */
  public PeerMessage {
    listings = List.copyOf(listings);
    crashes = List.copyOf(crashes);
    relays = List.copyOf(relays);
  }
}
