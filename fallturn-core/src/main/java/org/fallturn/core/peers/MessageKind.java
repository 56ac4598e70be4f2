package org.fallturn.core.peers;

import java.util.Optional;
import org.fallturn.core.dispatch.PeerLoads;

/** The purpose of a message between nodes. */
public enum MessageKind {
  /** Asks a node that the sender may not know for the list of relays. */
  GREETING(null),
  /** Answers with the list of relays, or with cache listings. */
  WELCOME(null),
  /** Reports the load of the sender and its members to the sender's relay. */
  REPORT(PeerLoads.Source.MEMBER),
  /** Reports the load of a relay and its members to the other relays. */
  GROUP(PeerLoads.Source.RELAY),
  /** Reports the load of all other nodes from a relay to one of its members. */
  VIEW(PeerLoads.Source.VIEW),
  /** Sends the sender's usage counts to the nodes that collect them, and nothing else. */
  USAGE(null);

  private final PeerLoads.Source source;

  MessageKind(PeerLoads.Source source) {
    this.source = source;
  }

  /**
   * Returns which nodes the load in the message covers; empty when the message contains no load.
   */
  public Optional<PeerLoads.Source> source() {
    return Optional.ofNullable(source);
  }
}
