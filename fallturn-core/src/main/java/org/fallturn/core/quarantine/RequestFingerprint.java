package org.fallturn.core.quarantine;

import java.util.Locale;

/**
 * Identifies the content of a request, whatever id the request has. Immutable.
 *
 * @param sketch a cheap hash that most other contents do not share
 * @param digest the cryptographic hash of the content in hex, so that nobody can craft a content
 *     that is mistaken for that of another caller
 */
public record RequestFingerprint(int sketch, String digest) {

  private static final int HEX = 16;
  private static final int SKETCH_DIGITS = 8;

  /**
   * Parses the result of {@link #toString}.
   *
   * @throws IllegalArgumentException when the text is no fingerprint
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
