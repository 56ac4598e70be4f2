package org.fallturn.node.settings;

/**
 * One mistake in a settings file or in the flags.
 *
 * @param source file name, or {@code flags}
 * @param line line in the file, from 1; 0 where there is none
 * @param field dotted key; empty when the file cannot be read as TOML there
 * @param message what is wrong
 * @param allowed what would be allowed
 */
public record SettingMistake(
    String source, int line, String field, String message, String allowed) {

  @Override
  public String toString() {
    String place = line > 0 ? source + ":" + line : source;
    String culprit = field.isEmpty() ? "" : " " + field + ":";
    return place + ":" + culprit + " " + message + "; allowed: " + allowed;
  }
}
