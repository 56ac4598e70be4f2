package org.fallturn.node.settings;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Text form of a duration: a whole number and a unit, {@code ms}, {@code s}, {@code m} or h. */
final class DurationText {

  private static final Pattern TEXT = Pattern.compile("(\\d{1,12})\\s*(ms|s|m|h)");

  private DurationText() {}

  static Duration parse(String text) {
    Matcher matcher = TEXT.matcher(text.strip());
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not a duration: " + text);
    }
    long count = Long.parseLong(matcher.group(1));
    return switch (matcher.group(2)) {
      case "ms" -> Duration.ofMillis(count);
      case "s" -> Duration.ofSeconds(count);
      case "m" -> Duration.ofMinutes(count);
      default -> Duration.ofHours(count);
    };
  }

  static String format(Duration duration) {
    if (duration.toMillisPart() != 0) {
      return duration.toMillis() + "ms";
    }
    if (duration.isZero() || duration.toSecondsPart() != 0) {
      return duration.toSeconds() + "s";
    }
    return duration.toMinutesPart() != 0 ? duration.toMinutes() + "m" : duration.toHours() + "h";
  }
}
