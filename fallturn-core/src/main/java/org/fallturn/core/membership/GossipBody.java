package org.fallturn.core.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;

/** What a gossip message asks or answers, beside the payloads it carries along. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = GossipBody.Ping.class, name = "p"),
  @JsonSubTypes.Type(value = GossipBody.Ack.class, name = "a"),
  @JsonSubTypes.Type(value = GossipBody.PingRequest.class, name = "r"),
  @JsonSubTypes.Type(value = GossipBody.Push.class, name = "u"),
  @JsonSubTypes.Type(value = GossipBody.SyncRequest.class, name = "s"),
  @JsonSubTypes.Type(value = GossipBody.SyncPage.class, name = "g")
})
public sealed interface GossipBody {

  /**
   * Are you there? Answered by an {@link Ack} of the same number.
   *
   * @param probe number chosen by the sender
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Ping(long probe) implements GossipBody {}

  /**
   * I am, or the member you asked me to ping is.
   *
   * @param probe echo of the question's number
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Ack(long probe) implements GossipBody {}

  /**
   * Ping a member for me and pass its answer on.
   *
   * @param probe number to answer with
   * @param target the member
   * @param targetAddress its UDP port
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record PingRequest(long probe, NodeId target, NetworkAddress targetAddress)
      implements GossipBody {

    /** Rejects missing parts. */
    public PingRequest {
      if (target == null || targetAddress == null) {
        throw new IllegalArgumentException("a ping request needs a target and its address");
      }
    }
  }

  /**
   * Only payloads; no answer.
   *
   * @param reserved always 0
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Push(int reserved) implements GossipBody {}

  /**
   * Send me what you know, from a position on.
   *
   * @param after the last key of the page before; empty for the first
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record SyncRequest(String after) implements GossipBody {

    /** Rejects a missing position. */
    public SyncRequest {
      if (after == null) {
        throw new IllegalArgumentException("a sync request needs a position");
      }
    }
  }

  /**
   * A page of what the sender knows; the payloads are the page.
   *
   * @param last key of the last payload; empty when the page is the last one
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record SyncPage(String last) implements GossipBody {

    /** Rejects a missing position. */
    public SyncPage {
      if (last == null) {
        throw new IllegalArgumentException("a sync page needs a position");
      }
    }
  }
}
