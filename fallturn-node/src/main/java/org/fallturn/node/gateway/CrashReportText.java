package org.fallturn.node.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;
import org.fallturn.core.quarantine.CrashReport;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.core.quarantine.SeenCrash;

/**
 * Text form of a {@link CrashReport} in messages between nodes. Words separated by spaces: the
 * fingerprint of the content; the ms since it was last sent or crashed an engine, since it was
 * confirmed as crashing engines, and since it was answered well; whether the store holds it; then a
 * word for each crash, with engine id, ms since the crash, whether the engine is gone, and "alone"
 * if it had few other requests, separated by colons. Earlier builds read no more than the first
 * three.
 */
final class CrashReportText {

  private static final int FIXED_WORDS = 5;
  private static final int FIXED_FIELDS = 3;
  private static final String ALONE = "alone";

  private CrashReportText() {}

  static String write(CrashReport report) {
    StringJoiner text = new StringJoiner(" ");
    text.add(report.content().toString());
    text.add(Long.toString(report.askedAgoMillis()));
    text.add(Long.toString(report.confirmedAgoMillis()));
    text.add(Long.toString(report.goodAgoMillis()));
    text.add(Boolean.toString(report.stored()));
    report.crashes().forEach(crash -> text.add(write(crash)));
    return text.toString();
  }

  private static String write(SeenCrash crash) {
    String text = crash.engineId() + ':' + crash.ageMillis() + ':' + crash.engineGone();
    return crash.alone() ? text + ':' + ALONE : text;
  }

  /**
   * Parses the text that {@link #write} produces.
   *
   * @throws IllegalArgumentException when the text is not a crash report
   * @throws IndexOutOfBoundsException when the text is truncated
   */
  static CrashReport read(String text) {
    String[] words = text.split(" ");
    List<SeenCrash> crashes = new ArrayList<>();
    for (int word = FIXED_WORDS; word < words.length; word++) {
      String[] fields = words[word].split(":");
      crashes.add(
          new SeenCrash(
              fields[0],
              Long.parseLong(fields[1]),
              Boolean.parseBoolean(fields[2]),
              fields.length > FIXED_FIELDS && fields[FIXED_FIELDS].equals(ALONE)));
    }
    return new CrashReport(
        RequestFingerprint.parse(words[0]),
        Long.parseLong(words[2]),
        Boolean.parseBoolean(words[4]),
        Long.parseLong(words[1]),
        Long.parseLong(words[3]),
        crashes);
  }
}
