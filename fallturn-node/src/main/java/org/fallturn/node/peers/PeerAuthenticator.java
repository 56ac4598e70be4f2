package org.fallturn.node.peers;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.function.LongSupplier;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.node.http.MessageAuthenticator;

/**
 * Proves among nodes that a peer message comes from a holder of the cluster key, unchanged and for
 * the first time. The header carries the sender's clock, a nonce and an HMAC-SHA256 over path,
 * clock, nonce and body; a message whose clock is further off than {@link #MAX_AGE_MILLIS}, or
 * whose nonce was seen within that time, is refused. Thread-safe.
 */
public final class PeerAuthenticator implements MessageAuthenticator {

  /** How far the clocks of two nodes and the way of a message may be apart. */
  public static final long MAX_AGE_MILLIS = 30_000;

  private static final String ALGORITHM = "HmacSHA256";
  private static final int PARTS = 3;

  private final SecretKeySpec key;
  private final LongSupplier clockMillis;
  private final SecureRandom random = new SecureRandom();
  private final NonceMemory nonces = new NonceMemory(MAX_AGE_MILLIS);

  /**
   * An authenticator for holders of one key.
   *
   * @param clusterKey the shared secret
   * @param clockMillis wall clock in milliseconds
   */
  public PeerAuthenticator(byte[] clusterKey, LongSupplier clockMillis) {
    this.key = new SecretKeySpec(clusterKey, ALGORITHM);
    this.clockMillis = clockMillis;
  }

  @Override
  public String sign(String path, byte[] body) {
    long now = clockMillis.getAsLong();
    long nonce = random.nextLong();
    String proof = HexFormat.of().formatHex(proof(path, now, nonce, body));
    return now + " " + nonce + " " + proof;
  }

  @Override
  public void verify(String path, String header, byte[] body) throws FallturnException {
    String[] parts = header == null ? new String[0] : header.split(" ", -1);
    if (parts.length != PARTS) {
      throw refused("a peer message needs header " + HEADER);
    }
    try {
      long sentMillis = Long.parseLong(parts[0]);
      long nonce = Long.parseLong(parts[1]);
      byte[] proof = HexFormat.of().parseHex(parts[2]);
      if (!MessageDigest.isEqual(proof, proof(path, sentMillis, nonce, body))) {
        throw refused("the sender does not hold the cluster key");
      }
      requireFresh(sentMillis, nonce);
    } catch (IllegalArgumentException e) {
      throw refused("header " + HEADER + " cannot be read");
    }
  }

  private void requireFresh(long sentMillis, long nonce) throws FallturnException {
    long now = clockMillis.getAsLong();
    if (Math.abs(now - sentMillis) > MAX_AGE_MILLIS) {
      throw refused("the message is " + (now - sentMillis) + " ms old by this node's clock");
    }
    if (!nonces.addIfNew(nonce, now)) {
      throw refused("the message was received before");
    }
  }

  private byte[] proof(String path, long millis, long nonce, byte[] body) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      byte[] pathBytes = path.getBytes(StandardCharsets.UTF_8);
      mac.update(
          ByteBuffer.allocate(Integer.BYTES + 2 * Long.BYTES)
              .putInt(pathBytes.length)
              .putLong(millis)
              .putLong(nonce)
              .flip());
      mac.update(pathBytes);
      return mac.doFinal(body);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("this Java has no " + ALGORITHM, e);
    }
  }

  private static FallturnException refused(String message) {
    return new FallturnException(ErrorKind.UNAUTHENTICATED, message);
  }
}
