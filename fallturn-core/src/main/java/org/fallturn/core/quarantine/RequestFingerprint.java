package org.fallturn.core.quarantine;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Identifies what requests under different ids have in common: their whole content, or one part of
 * their prompts. Immutable.
 *
 * @param kind what the requests have in common
 * @param sketch a cheap hash that most others do not share
 * @param digest the cryptographic hash in hex, so that nobody can craft a request that is mistaken
 *     for that of another caller
 */
public record RequestFingerprint(Kind kind, int sketch, String digest) {

  private static final int HEX = 16;
  private static final int SKETCH_DIGITS = 8;

  /** What requests have in common. */
  public enum Kind {
    /** Target, caller and body. */
    CONTENT("", 0),
    /**
     * One part of the prompt, whatever else the requests hold. Sound requests share most parts with
     * those that crash engines, so that these parts are in every crash, too. Therefore an answer
     * clears a part for a while, also from crashes that follow within ms of each other while no
     * engine is left to answer anything.
     */
    PROMPT_PART("part-", TimeUnit.MINUTES.toNanos(1));

    private final String prefix;
    private final long clearedNanos;

    Kind(String prefix, long clearedNanos) {
      this.prefix = prefix;
      this.clearedNanos = clearedNanos;
    }

    /** How long after a successful answer a crash still says nothing. */
    long clearedNanos() {
      return clearedNanos;
    }
  }

  /** Creates the fingerprint of a whole content. */
  public RequestFingerprint(int sketch, String digest) {
    this(Kind.CONTENT, sketch, digest);
  }

  /** Returns whether this is the fingerprint of a part of a prompt. */
  public boolean isPart() {
    return kind == Kind.PROMPT_PART;
  }

  /**
   * Parses the result of {@link #toString}.
   *
   * @throws IllegalArgumentException when the text is no fingerprint
   */
  public static RequestFingerprint parse(String text) {
    Kind kind = text.startsWith(Kind.PROMPT_PART.prefix) ? Kind.PROMPT_PART : Kind.CONTENT;
    String hashes = text.substring(kind.prefix.length());
    if (hashes.length() <= SKETCH_DIGITS + 1 || hashes.charAt(SKETCH_DIGITS) != '-') {
      throw new IllegalArgumentException("not a fingerprint: " + text);
    }
    int sketch = Integer.parseUnsignedInt(hashes.substring(0, SKETCH_DIGITS), HEX);
    return new RequestFingerprint(kind, sketch, hashes.substring(SKETCH_DIGITS + 1));
  }

  @Override
  public String toString() {
    return kind.prefix + String.format(Locale.ROOT, "%08x-%s", sketch, digest);
  }
}
