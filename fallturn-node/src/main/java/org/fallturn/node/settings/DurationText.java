package org.fallturn.node.settings;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Text form of a duration: a number and a unit, {@code ms}, {@code s}, {@code m} or h. */
final class DurationText {

  private static final Pattern TEXT = Pattern.compile("(\\d{1,12}(?:\\.\\d{1,6})?)\\s*(ms|s|m|h)");

  private DurationText() {}

  static Duration parse(String text) {
    Matcher matcher = TEXT.matcher(text.strip());
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not a duration: " + text);
    }
    BigDecimal count = new BigDecimal(matcher.group(1));
    Duration unit =
        switch (matcher.group(2)) {
          case "ms" -> Duration.ofMillis(1);
          case "s" -> Duration.ofSeconds(1);
          case "m" -> Duration.ofMinutes(1);
          default -> Duration.ofHours(1);
        };
    return Duration.ofNanos(count.multiply(BigDecimal.valueOf(unit.toNanos())).longValueExact());
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
