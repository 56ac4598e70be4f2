package org.fallturn.node.operators;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/** Makes and hashes keys. Thread-safe. */
public final class KeyHashes {

  private static final int KEY_BYTES = 32;
  private static final String KEY_PREFIX = "fk_";
  private static final SecureRandom RANDOM = new SecureRandom();

  private KeyHashes() {}

  /** Hexadecimal SHA-256 of a key, as configuration records store it. */
  public static String hash(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java has no SHA-256", e);
    }
  }

  /** A new random key of 256 bits. */
  public static String newKey() {
    byte[] bytes = new byte[KEY_BYTES];
    RANDOM.nextBytes(bytes);
    return KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }
}
