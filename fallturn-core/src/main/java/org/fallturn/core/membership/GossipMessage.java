package org.fallturn.core.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.fallturn.core.domain.NodeId;

/**
 * One datagram between two nodes.
 *
 * @param from the sender
 * @param session fixed for the sender's process, higher in each later process of the same id
 * @param sequence rises with each message of the session; a receiver takes each number once
 * @param to the receiver; any other node refuses it
 * @param configurationVersion the version the sender has in force
 * @param machineListVersion the version of the machine list the sender has
 * @param body the question or answer
 * @param payloads what rides along
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record GossipMessage(
    NodeId from,
    long session,
    long sequence,
    NodeId to,
    long configurationVersion,
    long machineListVersion,
    GossipBody body,
    List<GossipPayload> payloads) {

  /** Rejects missing parts and takes a private copy of the payloads. */
  public GossipMessage {
    if (from == null || to == null || body == null || payloads == null) {
      throw new IllegalArgumentException("a gossip message needs from, to, body and payloads");
    }
    payloads = List.copyOf(payloads);
  }

  /** The same message with payloads. */
  GossipMessage withPayloads(List<GossipPayload> carried) {
    return new GossipMessage(
        from, session, sequence, to, configurationVersion, machineListVersion, body, carried);
  }
}
