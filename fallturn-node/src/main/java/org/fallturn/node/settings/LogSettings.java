package org.fallturn.node.settings;

import java.util.List;

/**
 * Format and level of the log on standard output.
 *
 * @param format lines of text or one JSON object a line
 * @param level lowest level that is written
 */
public record LogSettings(LogFormat format, LogLevel level) {

  private static final SettingDefinition<LogFormat> FORMAT =
      SettingDefinition.choice(
          "log.format",
          LogFormat.class,
          LogFormat.TEXT,
          "Lines of text or one JSON object a line.");

  private static final SettingDefinition<LogLevel> LEVEL =
      SettingDefinition.choice(
          "log.level", LogLevel.class, LogLevel.INFO, "Lowest level that is written.");

  static final List<SettingDefinition<?>> DEFINITIONS = List.of(FORMAT, LEVEL);

  static LogSettings from(SettingValues values) {
    return new LogSettings(values.get(FORMAT), values.get(LEVEL));
  }
}
