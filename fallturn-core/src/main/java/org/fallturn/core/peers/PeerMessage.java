package org.fallturn.core.peers;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.dispatch.CacheListing;
import org.fallturn.core.dispatch.LoadDigest;
import org.fallturn.core.quarantine.CrashReport;
import org.fallturn.core.usage.UsageCounts;

/**
 * One message between nodes. Immutable.
 *
 * @param kind what it is for
 * @param sender who sends it
 * @param load what those that it speaks for have, and prompts that were placed
 * @param listings what engines said that they keep
 * @param crashes contents that may crash engines
 * @param relays relays and who is next in line, in some messages
 * @param tables the newest change of each followed table that the sender knows to have been seen
 * @param usage what the sender has counted, in messages of that kind
 * @param wantsListings whether the sender asks for all that is known of what engines keep
 */
public record PeerMessage(
    MessageKind kind,
    PeerInfo sender,
    LoadDigest load,
    List<CacheListing> listings,
    List<CrashReport> crashes,
    List<KnownPeer> relays,
    Map<String, Long> tables,
    Optional<UsageCounts> usage,
    boolean wantsListings) {

  /** A message that says nothing of usage. */
  public PeerMessage(
      MessageKind kind,
      PeerInfo sender,
      LoadDigest load,
      List<CacheListing> listings,
      List<CrashReport> crashes,
      List<KnownPeer> relays,
      Map<String, Long> tables,
      boolean wantsListings) {
    this(kind, sender, load, listings, crashes, relays, tables, Optional.empty(), wantsListings);
  }

  /** The same message, which also asks for all listings. */
  PeerMessage askingForListings() {
    return new PeerMessage(kind, sender, load, listings, crashes, relays, tables, usage, true);
  }

  /** Private copies. */
  public PeerMessage {
    listings = List.copyOf(listings);
    crashes = List.copyOf(crashes);
    relays = List.copyOf(relays);
    tables = Map.copyOf(tables);
  }
}
