package org.fallturn.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * Reads a TOML text and flags against a list of definitions. A flag wins over the file. Every
 * mistake is collected, so that one run of {@code fallturn check} shows them all.
 */
public final class SettingsReader {

  private static final String FLAGS = "flags";

  private final Map<String, SettingDefinition<?>> definitions = new LinkedHashMap<>();
  private final Map<SettingDefinition<?>, Object> values = new HashMap<>();
  private final List<SettingMistake> mistakes = new ArrayList<>();

  /** A reader that knows the given settings and no others. */
  public SettingsReader(List<SettingDefinition<?>> known) {
    for (SettingDefinition<?> definition : known) {
      if (definitions.put(definition.key(), definition) != null) {
        throw new IllegalStateException("setting is defined twice: " + definition.key());
      }
    }
  }

  /** Reads a settings file. */
  public SettingsReader file(Path file) {
    try {
      return toml(file.toString(), Files.readString(file));
    } catch (IOException e) {
      mistakes.add(
          new SettingMistake(file.toString(), 0, "", "cannot be read: " + e, "a readable file"));
      return this;
    }
  }

  /** Reads the text of a settings file. */
  public SettingsReader toml(String source, String text) {
    TomlParseResult result = Toml.parse(text);
    result
        .errors()
        .forEach(
            error ->
                mistakes.add(
                    new SettingMistake(
                        source,
                        error.position().line(),
                        "",
                        error.getMessage(),
                        "TOML of sections and fields")));
    List<String> keys = new ArrayList<>(result.dottedKeySet());
    keys.sort(Comparator.comparingInt(key -> line(result, key)));
    for (String key : keys) {
      readToml(source, line(result, key), key, result.get(key));
    }
    return this;
  }

  private static int line(TomlParseResult result, String key) {
    TomlPosition position = result.inputPositionOf(key);
    return position == null ? 0 : position.line();
  }

  /** Reads flags, by dotted key. */
  public SettingsReader flags(Map<String, String> flags) {
    flags.forEach(
        (key, text) -> {
          SettingDefinition<?> definition = known(FLAGS, 0, key);
          if (definition != null) {
            keep(FLAGS, 0, definition, text, definition.fromText(text));
          }
        });
    return this;
  }

  private void readToml(String source, int line, String key, Object value) {
    SettingDefinition<?> definition = known(source, line, key);
    if (definition != null) {
      keep(source, line, definition, value, definition.fromToml(value));
    }
  }

  private SettingDefinition<?> known(String source, int line, String key) {
    SettingDefinition<?> definition = definitions.get(key);
    if (definition == null) {
      mistakes.add(new SettingMistake(source, line, key, "no such setting", alternatives(key)));
    }
    return definition;
  }

  private String alternatives(String key) {
    String section = key.contains(".") ? key.substring(0, key.indexOf('.') + 1) : "";
    String fields =
        definitions.keySet().stream()
            .filter(name -> !section.isEmpty() && name.startsWith(section))
            .collect(Collectors.joining(", "));
    return fields.isEmpty() ? "sections " + sections() : fields;
  }

  private String sections() {
    return definitions.keySet().stream()
        .map(key -> key.substring(0, key.indexOf('.')))
        .distinct()
        .collect(Collectors.joining(", "));
  }

  private void keep(
      String source, int line, SettingDefinition<?> definition, Object raw, Optional<?> value) {
    if (value.isEmpty()) {
      mistakes.add(
          new SettingMistake(
              source, line, definition.key(), "value not allowed: " + raw, definition.allowed()));
      return;
    }
    values.put(definition, value.get());
  }

  /** Every mistake so far. */
  public List<SettingMistake> mistakes() {
    return List.copyOf(mistakes);
  }

  /**
   * The values read.
   *
   * @throws SettingsException when there was any mistake
   */
  public SettingValues values() throws SettingsException {
    if (!mistakes.isEmpty()) {
      throw new SettingsException(mistakes);
    }
    return new SettingValues(values);
  }
}
