package org.fallturn.node.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.StringJoiner;
import org.fallturn.core.quarantine.CrashReport;
import org.fallturn.core.quarantine.RequestFingerprint;

/**
 * A crash report as a line of a message between nodes: fingerprint, ms since it was asked for,
 * confirmed and answered well, whether the store holds it, then an engine and the ms since its
 * crash, for each crash.
 */
final class CrashReportText {

  private static final int FIXED_WORDS = 5;

  private CrashReportText() {}

  static String write(CrashReport report) {
    StringJoiner text = new StringJoiner(" ");
    text.add(report.content().toString());
    text.add(Long.toString(report.askedAgoMillis()));
    text.add(Long.toString(report.confirmedAgoMillis()));
    text.add(Long.toString(report.goodAgoMillis()));
    text.add(Boolean.toString(report.stored()));
    report.crashAgesMillis().forEach((engine, age) -> text.add(engine + ':' + age));
    return text.toString();
  }

  /**
   * Reads what {@link #write} wrote.
   *
   * @throws IllegalArgumentException when it is no report
   * @throws IndexOutOfBoundsException when it is cut short
   */
  static CrashReport read(String text) {
    String[] words = text.split(" ");
    Map<String, Long> crashes = new HashMap<>();
    for (int word = FIXED_WORDS; word < words.length; word++) {
      int colon = words[word].lastIndexOf(':');
      crashes.put(
          words[word].substring(0, colon), Long.parseLong(words[word].substring(colon + 1)));
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
