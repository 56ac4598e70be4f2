package org.fallturn.core.quarantine;

import java.util.Map;

/**
 * What one node tells another of a content that may crash engines. Immutable.
 *
 * @param content the content
 * @param confirmedAgoMillis how old the evidence is for which it is in quarantine whatever is heard
 *     of the engines later; {@link #NEVER} when it is not
 * @param stored whether the store holds it
 * @param askedAgoMillis how long ago anybody sent it, or an engine crashed under it
 * @param goodAgoMillis how long ago it was answered well; {@link #NEVER} when it was not
 * @param crashAgesMillis how long ago each engine crashed under it, by engine id
 */
public record CrashReport(
    RequestFingerprint content,
    long confirmedAgoMillis,
    boolean stored,
    long askedAgoMillis,
    long goodAgoMillis,
    Map<String, Long> crashAgesMillis) {

  /** Instead of an age. */
  public static final long NEVER = -1;

  /** Private copies. */
  public CrashReport {
    crashAgesMillis = Map.copyOf(crashAgesMillis);
  }
}
