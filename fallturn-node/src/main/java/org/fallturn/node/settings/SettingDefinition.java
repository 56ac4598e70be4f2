package org.fallturn.node.settings;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
import org.fallturn.core.domain.NetworkAddress;

/**
 * One setting: key, type, default, bounds and documentation in one place. The settings file, the
 * flags, {@code fallturn check} and its table all read this. Immutable.
 *
 * @param <T> Java type of the value
 */
public final class SettingDefinition<T> {

  private final String key;
  private final SettingType<T> type;
  private final T defaultValue;
  private final Predicate<T> bounds;
  private final String allowed;
  private final String doc;

  private SettingDefinition(
      String key,
      SettingType<T> type,
      T defaultValue,
      Predicate<T> bounds,
      String allowed,
      String doc) {
    this.key = key;
    this.type = type;
    this.defaultValue = defaultValue;
    this.bounds = bounds;
    this.allowed = allowed;
    this.doc = doc;
  }

  /** A text of bounded length; may be empty when its default is. */
  public static SettingDefinition<String> text(String key, String defaultValue, String doc) {
    int maxLength = 4096;
    return new SettingDefinition<>(
        key,
        SettingType.TEXT,
        defaultValue,
        value -> value.length() <= maxLength,
        "text of at most " + maxLength + " characters",
        doc);
  }

  /** A text that is a name: letters, digits, dots, hyphens and underscores. */
  public static SettingDefinition<String> name(String key, String defaultValue, String doc) {
    return new SettingDefinition<>(
        key,
        SettingType.TEXT,
        defaultValue,
        value -> value.equals(defaultValue) || value.matches("[A-Za-z0-9._-]{1,64}"),
        "1 to 64 letters, digits, dots, hyphens or underscores",
        doc);
  }

  /** A text that is a lower-case hexadecimal SHA-256, or empty. */
  public static SettingDefinition<String> sha256(String key, String doc) {
    return new SettingDefinition<>(
        key,
        SettingType.TEXT,
        "",
        value -> value.isEmpty() || value.matches("[0-9a-f]{64}"),
        "64 hexadecimal digits in lower case, or empty",
        doc);
  }

  /** A truth value. */
  public static SettingDefinition<Boolean> flag(String key, boolean defaultValue, String doc) {
    return new SettingDefinition<>(
        key, SettingType.BOOLEAN, defaultValue, value -> true, SettingType.BOOLEAN.name(), doc);
  }

  /** A whole number within bounds. */
  public static SettingDefinition<Integer> integer(
      String key, int defaultValue, int min, int max, String doc) {
    return bounded(key, SettingType.INTEGER, defaultValue, min, max, doc);
  }

  /** A number within bounds. */
  public static SettingDefinition<Double> decimal(
      String key, double defaultValue, double min, double max, String doc) {
    return bounded(key, SettingType.DECIMAL, defaultValue, min, max, doc);
  }

  /** A duration within bounds. */
  public static SettingDefinition<Duration> duration(
      String key, Duration defaultValue, Duration min, Duration max, String doc) {
    return bounded(key, SettingType.DURATION, defaultValue, min, max, doc);
  }

  /** A size within bounds. */
  public static SettingDefinition<DataSize> dataSize(
      String key, DataSize defaultValue, DataSize min, DataSize max, String doc) {
    return bounded(key, SettingType.DATA_SIZE, defaultValue, min, max, doc);
  }

  /** An address; port 0 takes any free one where it is listened on. */
  public static SettingDefinition<NetworkAddress> address(
      String key, String defaultValue, String doc) {
    return new SettingDefinition<>(
        key,
        SettingType.ADDRESS,
        NetworkAddress.parse(defaultValue),
        value -> true,
        SettingType.ADDRESS.name(),
        doc);
  }

  /** A list of addresses split by commas; may be empty. */
  public static SettingDefinition<String> addresses(String key, String defaultValue, String doc) {
    return new SettingDefinition<>(
        key,
        SettingType.TEXT,
        defaultValue,
        value -> value.isEmpty() || value.matches("[^\\s,:]+:\\d{1,5}(,[^\\s,:]+:\\d{1,5})*"),
        "addresses such as \"10.0.0.1:8080,10.0.0.2:8080\", or empty",
        doc);
  }

  /** One of an enum's constants, written in lower case. */
  public static <E extends Enum<E>> SettingDefinition<E> choice(
      String key, Class<E> choices, E defaultValue, String doc) {
    SettingType<E> type = SettingType.choice(choices);
    return new SettingDefinition<>(key, type, defaultValue, value -> true, type.name(), doc);
  }

  private static <C extends Comparable<C>> SettingDefinition<C> bounded(
      String key, SettingType<C> type, C defaultValue, C min, C max, String doc) {
    return new SettingDefinition<>(
        key,
        type,
        defaultValue,
        value -> value.compareTo(min) >= 0 && value.compareTo(max) <= 0,
        type.name() + " from " + type.formatter().apply(min) + " to " + type.formatter().apply(max),
        doc);
  }

  /** Dotted key: section and field. */
  public String key() {
    return key;
  }

  /** What is allowed, for people. */
  public String allowed() {
    return allowed;
  }

  /** What the setting is for. */
  public String doc() {
    return doc;
  }

  /** The value when neither file nor flag names one. */
  public T defaultValue() {
    return defaultValue;
  }

  /** The default as it would be written. */
  public String defaultText() {
    return type.formatter().apply(defaultValue);
  }

  /** Reads a value of the settings file; empty when it is not allowed. */
  Optional<T> fromToml(Object value) {
    boolean isText = value instanceof String;
    boolean isNumber = value instanceof Number || value instanceof Boolean;
    if (type.quoted() ? !isText : !isNumber) {
      return Optional.empty();
    }
    return fromText(value.toString());
  }

  /** Reads a flag's text; empty when it is not allowed. */
  Optional<T> fromText(String text) {
    try {
      return Optional.of(type.parser().apply(text)).filter(bounds);
    } catch (IllegalArgumentException | ArithmeticException e) {
      return Optional.empty();
    }
  }
}
