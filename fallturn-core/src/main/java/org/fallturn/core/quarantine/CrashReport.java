package org.fallturn.core.quarantine;

import java.util.List;

/**
 * What one node tells another of a content that may crash engines. Immutable.
 *
 * @param content the content
 * @param confirmedAgoMillis how old the evidence is for which it is in quarantine whatever is heard
 *     of the engines later; {@link #NEVER} when it is not
 * @param stored whether the store holds it
 * @param askedAgoMillis how long ago anybody sent it, or an engine crashed under it
 * @param goodAgoMillis how long ago it was answered well; {@link #NEVER} when it was not
 * @param crashes engines that seemed to crash under it
 */
public record CrashReport(
    RequestFingerprint content,
    long confirmedAgoMillis,
    boolean stored,
    long askedAgoMillis,
    long goodAgoMillis,
    List<SeenCrash> crashes) {

  /** Instead of an age. */
  public static final long NEVER = -1;

  /** A private copy. */
  public CrashReport {
    crashes = List.copyOf(crashes);
  }
}
