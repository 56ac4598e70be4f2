package org.fallturn.core.peers;

import java.util.Optional;
import org.fallturn.core.dispatch.PeerLoads;

/** What a message between nodes is for. */
public enum MessageKind {
  /** A node asks one that it may not know who the relays are. */
  GREETING(null),
  /** Who the relays are, or what engines keep, to a node that asked. */
  WELCOME(null),
  /** What a node and those that report to it have, to its relay. */
  REPORT(PeerLoads.Source.MEMBER),
  /** What a relay and those that report to it have, to the other relays. */
  GROUP(PeerLoads.Source.RELAY),
  /** What all other nodes have, from a relay to a node that reports to it. */
  VIEW(PeerLoads.Source.VIEW),
  /** What a node has counted, to the nodes that collect it; says nothing else. */
  USAGE(null);

  private final PeerLoads.Source source;

  MessageKind(PeerLoads.Source source) {
    this.source = source;
  }

  /** Whom its load speaks for; empty when it tells of no load. */
  public Optional<PeerLoads.Source> source() {
    return Optional.ofNullable(source);
  }
}
