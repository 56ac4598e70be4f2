package org.fallturn.core.membership;

/** Port to the codec: how long messages are once encoded. */
public interface MessageSizer {

  /** Bytes of a message without payloads, authentication included, IP and UDP headers not. */
  int messageBytes(GossipMessage message);

  /** Bytes that a payload adds to a message, separator included. */
  int payloadBytes(GossipPayload payload);
}
