package org.fallturn.node.settings;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.fallturn.core.domain.NetworkAddress;

/**
 * How a setting's value is written and read. Immutable.
 *
 * @param <T> Java type of the value
 * @param name name of the type, for people
 * @param parser reads the text form; throws {@link IllegalArgumentException} on any other text
 * @param formatter writes the text form
 * @param quoted whether the value is a string in TOML
 */
record SettingType<T>(
    String name, Function<String, T> parser, Function<T, String> formatter, boolean quoted) {

  static final SettingType<String> TEXT =
      new SettingType<>("text", Function.identity(), Function.identity(), true);

  static final SettingType<Boolean> BOOLEAN =
      new SettingType<>("true or false", SettingType::parseBoolean, String::valueOf, false);

  static final SettingType<Integer> INTEGER =
      new SettingType<>("whole number", Integer::valueOf, String::valueOf, false);

  static final SettingType<Double> DECIMAL =
      new SettingType<>("number", SettingType::parseDecimal, String::valueOf, false);

  static final SettingType<Duration> DURATION =
      new SettingType<>(
          "duration such as \"500ms\", \"3s\", \"5m\"",
          DurationText::parse,
          DurationText::format,
          true);

  static final SettingType<DataSize> DATA_SIZE =
      new SettingType<>(
          "size such as \"512B\", \"64KiB\", \"1MiB\"", DataSize::parse, DataSize::toString, true);

  static final SettingType<NetworkAddress> ADDRESS =
      new SettingType<>(
          "address such as \"127.0.0.1:8080\"",
          NetworkAddress::parse,
          NetworkAddress::toString,
          true);

  static <E extends Enum<E>> SettingType<E> choice(Class<E> type) {
    String names =
        Arrays.stream(type.getEnumConstants())
            .map(SettingType::choiceName)
            .collect(Collectors.joining(", "));
    return new SettingType<>(
        "one of " + names, text -> parseChoice(type, text), SettingType::choiceName, true);
  }

  private static <E extends Enum<E>> E parseChoice(Class<E> type, String text) {
    return Arrays.stream(type.getEnumConstants())
        .filter(constant -> choiceName(constant).equals(text))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("not a choice: " + text));
  }

  private static String choiceName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static Boolean parseBoolean(String text) {
    if (!text.equals("true") && !text.equals("false")) {
      throw new IllegalArgumentException("neither true nor false: " + text);
    }
    return Boolean.valueOf(text);
  }

  private static Double parseDecimal(String text) {
    double value = Double.parseDouble(text);
    if (!Double.isFinite(value)) {
      throw new IllegalArgumentException("not a finite number: " + text);
    }
    return value;
  }
}
