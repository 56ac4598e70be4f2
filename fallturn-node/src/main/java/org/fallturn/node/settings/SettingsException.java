package org.fallturn.node.settings;

import java.util.List;
import java.util.stream.Collectors;

/** The settings are not usable; says every mistake. */
public class SettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingMistake> mistakes;

  /** With every mistake found. */
  public SettingsException(List<SettingMistake> mistakes) {
    super(mistakes.stream().map(SettingMistake::toString).collect(Collectors.joining("\n")));
    this.mistakes = List.copyOf(mistakes);
  }

  /** Every mistake, in the order of the file. */
  public List<SettingMistake> mistakes() {
    return mistakes;
  }
}
