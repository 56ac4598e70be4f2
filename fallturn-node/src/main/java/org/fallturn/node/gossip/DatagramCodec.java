package org.fallturn.node.gossip;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.fallturn.core.membership.GossipMessage;
import org.fallturn.core.membership.GossipPayload;
import org.fallturn.core.membership.MessageSizer;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;

/**
 * Datagrams: an authentication code, then the message as JSON. The code is HMAC-SHA256 over the
 * JSON under the cluster key, cut to 16 bytes as RFC 2104 allows. Not thread-safe: each thread has
 * its own.
 */
public final class DatagramCodec implements MessageSizer {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int CODE_BYTES = 16;
  private static final int SEPARATOR_BYTES = 1;

  private final JsonCodec json;
  private final Mac mac;

  /**
   * A codec under a key.
   *
   * @param clusterKey not empty
   */
  public DatagramCodec(JsonCodec json, byte[] clusterKey) {
    this.json = json;
    try {
      mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(clusterKey, ALGORITHM));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("this runtime has no " + ALGORITHM, e);
    }
  }

  /** Writes a datagram. */
  public byte[] encode(GossipMessage message) {
    byte[] content = json.encode(message);
    byte[] datagram = new byte[CODE_BYTES + content.length];
    System.arraycopy(mac.doFinal(content), 0, datagram, 0, CODE_BYTES);
    System.arraycopy(content, 0, datagram, CODE_BYTES, content.length);
    return datagram;
  }

  /** Reads a datagram, after its code has proved authentic. */
  public GossipMessage decode(byte[] datagram) throws DatagramRefusedException {
    if (datagram.length <= CODE_BYTES) {
      throw new DatagramRefusedException(DatagramRefusedException.Reason.MALFORMED, null);
    }
    byte[] content = Arrays.copyOfRange(datagram, CODE_BYTES, datagram.length);
    byte[] code = Arrays.copyOf(datagram, CODE_BYTES);
    if (!MessageDigest.isEqual(code, Arrays.copyOf(mac.doFinal(content), CODE_BYTES))) {
      throw new DatagramRefusedException(DatagramRefusedException.Reason.NOT_AUTHENTIC, null);
    }
    try {
      return json.decode(content, GossipMessage.class);
    } catch (MalformedMessageException e) {
      throw new DatagramRefusedException(DatagramRefusedException.Reason.MALFORMED, e);
    }
  }

  @Override
  public int messageBytes(GossipMessage message) {
    return CODE_BYTES + json.encode(message).length;
  }

  @Override
  public int payloadBytes(GossipPayload payload) {
    return json.encode(payload).length + SEPARATOR_BYTES;
  }
}
