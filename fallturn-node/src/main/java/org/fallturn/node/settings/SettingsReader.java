package org.fallturn.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;

/**
 * Reads a TOML text and flags against a list of definitions. A flag wins over the file. Every
 * mistake is collected, so that one run of {@code fallturn check} shows them all.
 */
public final class SettingsReader {

  private static final String FLAGS = "flags";
  private static final IntSupplier NO_LINE = () -> 0;

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
    try {
      TomlText toml = TomlText.parse(text);
      toml.fields().forEach(field -> readToml(source, toml, field));
    } catch (TomlText.MalformedTomlException e) {
      mistakes.add(
          new SettingMistake(source, e.line(), "", e.getMessage(), "TOML of sections and fields"));
    }
    return this;
  }

  /** Reads flags, by dotted key. */
  public SettingsReader flags(Map<String, String> flags) {
    flags.forEach(
        (key, text) -> {
          SettingDefinition<?> definition = known(FLAGS, NO_LINE, key);
          if (definition != null) {
            keep(FLAGS, NO_LINE, definition, text, definition.fromText(text));
          }
        });
    return this;
  }

  private void readToml(String source, TomlText toml, TomlText.Field field) {
    IntSupplier line = () -> toml.line(field.key());
    SettingDefinition<?> definition = known(source, line, field.key());
    if (definition != null) {
      keep(source, line, definition, field.value(), definition.fromToml(field.value()));
    }
  }

  private SettingDefinition<?> known(String source, IntSupplier line, String key) {
    SettingDefinition<?> definition = definitions.get(key);
    if (definition == null) {
      mistakes.add(
          new SettingMistake(source, line.getAsInt(), key, "no such setting", alternatives(key)));
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
      String source,
      IntSupplier line,
      SettingDefinition<?> definition,
      Object raw,
      Optional<?> value) {
    if (value.isEmpty()) {
      mistakes.add(
          new SettingMistake(
              source,
              line.getAsInt(),
              definition.key(),
              "value not allowed: " + raw,
              definition.allowed()));
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
