package org.fallturn.core.quarantine;

import java.util.List;

/**
 * What one node reports to another about a request content that may crash engines. Immutable.
 *
 * @param content fingerprint of the content
 * @param confirmedAgoMillis age in ms of the evidence by which the content stays in quarantine,
 *     whatever is heard of the engines later; {@link #NEVER} when there is none
 * @param stored whether the store holds the content
 * @param askedAgoMillis time in ms since a caller last requested the content, or an engine crashed
 *     under it
 * @param goodAgoMillis time in ms since an engine last answered it successfully; {@link #NEVER}
 *     when none did
 * @param crashes engines that seemed to crash under it
 */
public record CrashReport(
    RequestFingerprint content,
    long confirmedAgoMillis,
    boolean stored,
    long askedAgoMillis,
    long goodAgoMillis,
    List<SeenCrash> crashes) {

  /** The age of an event that has not happened. */
  public static final long NEVER = -1;

  /** Copies the list. */
  public CrashReport {
    crashes = List.copyOf(crashes);
  }
}
