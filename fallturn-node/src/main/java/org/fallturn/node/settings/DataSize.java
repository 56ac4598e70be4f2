package org.fallturn.node.settings;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A number of bytes. Text form: a whole number and a unit, {@code B}, {@code KiB}, {@code MiB} or
 * {@code GiB}.
 *
 * @param bytes 0 or more
 */
public record DataSize(long bytes) implements Comparable<DataSize> {

  private static final Pattern TEXT = Pattern.compile("(\\d{1,12})\\s*(B|KiB|MiB|GiB)");
  private static final long KIBI = 1024;

  /** Rejects a negative size. */
  public DataSize {
    if (bytes < 0) {
      throw new IllegalArgumentException("a data size must not be negative, but is " + bytes);
    }
  }

  /** A size in KiB. */
  public static DataSize ofKibibytes(long count) {
    return new DataSize(count * KIBI);
  }

  /** A size in MiB. */
  public static DataSize ofMebibytes(long count) {
    return new DataSize(count * KIBI * KIBI);
  }

  /** Reads the text form. */
  public static DataSize parse(String text) {
    Matcher matcher = TEXT.matcher(text.strip());
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not a size: " + text);
    }
    return new DataSize(Math.multiplyExact(Long.parseLong(matcher.group(1)), unit(matcher)));
  }

  private static long unit(Matcher matcher) {
    return switch (matcher.group(2)) {
      case "KiB" -> KIBI;
      case "MiB" -> KIBI * KIBI;
      case "GiB" -> KIBI * KIBI * KIBI;
      default -> 1;
    };
  }

  /** The size as an int, for lengths of arrays. */
  public int bytesAsInt() {
    return Math.toIntExact(bytes);
  }

  @Override
  public int compareTo(DataSize other) {
    return Long.compare(bytes, other.bytes);
  }

  @Override
  public String toString() {
    long count = bytes;
    int unit = 0;
    String[] units = {"B", "KiB", "MiB", "GiB"};
    while (unit < units.length - 1 && count > 0 && count % KIBI == 0) {
      count /= KIBI;
      unit++;
    }
    return String.format(Locale.ROOT, "%d%s", count, units[unit]);
  }
}
