package org.fallturn.core.quarantine;

import java.util.Locale;

/**
 * Tells the content of one request from that of others, whatever ids they bear. Immutable.
 *
 * @param sketch a cheap hash that most other contents do not share
 * @param digest the content's cryptographic hash in hex, so that nobody can make a content that is
 *     taken for another caller's
 */
public record RequestFingerprint(int sketch, String digest) {

  private static final int HEX = 16;
  private static final int SKETCH_DIGITS = 8;

  /**
   * Reads what {@link #toString} wrote.
   *
   * @throws IllegalArgumentException when it is no fingerprint
   */
  public static RequestFingerprint parse(String text) {
    if (text.length() <= SKETCH_DIGITS + 1 || text.charAt(SKETCH_DIGITS) != '-') {
      throw new IllegalArgumentException("not a fingerprint: " + text);
    }
    int sketch = Integer.parseUnsignedInt(text.substring(0, SKETCH_DIGITS), HEX);
    return new RequestFingerprint(sketch, text.substring(SKETCH_DIGITS + 1));
  }

  @Override
  public String toString() {
    return String.format(Locale.ROOT, "%08x-%s", sketch, digest);
  }
}
