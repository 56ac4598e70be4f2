package org.fallturn.node.settings;

import java.util.Map;

/** Values of settings by definition; a setting without a value has its default. Immutable. */
public final class SettingValues {

  private final Map<SettingDefinition<?>, Object> values;

  SettingValues(Map<SettingDefinition<?>, Object> values) {
    this.values = Map.copyOf(values);
  }

  /** Every setting at its default. */
  public static SettingValues defaults() {
    return new SettingValues(Map.of());
  }

  /** The value of a setting. */
  @SuppressWarnings("unchecked")
  public <T> T get(SettingDefinition<T> definition) {
    return (T) values.getOrDefault(definition, definition.defaultValue());
  }
}
