package org.fallturn.node.command;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import net.sourceforge.argparse4j.inf.ArgumentGroup;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.settings.NodeSettings;
import org.fallturn.node.settings.SettingDefinition;
import org.fallturn.node.settings.SettingsException;
import org.fallturn.node.settings.SettingsReader;

/**
 * Command-line arguments for the settings of a node: a settings file, and for each setting a flag
 * {@code --section.field VALUE} that overrides the file.
 */
final class SettingsArguments {

  private static final String FILE = "settings";

  private SettingsArguments() {}

  static void declare(Subparser parser) {
    parser.addArgument("--" + FILE).metavar("FILE").help("settings file (TOML)");
    ArgumentGroup group = parser.addArgumentGroup("settings (a flag wins over the file)");
    for (SettingDefinition<?> definition : NodeSettings.definitions()) {
      group
          .addArgument("--" + definition.key())
          .dest(definition.key())
          .metavar("VALUE")
          .help(help(definition));
    }
  }

  private static String help(SettingDefinition<?> definition) {
    String text = definition.doc() + " Default: \"" + definition.defaultText() + "\".";
    return text.replace("%", "%%");
  }

  static NodeSettings read(Namespace arguments) throws SettingsException {
    SettingsReader reader = NodeSettings.reader();
    String file = arguments.getString(FILE);
    if (file != null) {
      reader.file(Path.of(file));
    }
    return NodeSettings.from(reader.flags(flags(arguments)).values());
  }

  private static Map<String, String> flags(Namespace arguments) {
    Map<String, String> flags = new LinkedHashMap<>();
    for (SettingDefinition<?> definition : NodeSettings.definitions()) {
      String value = arguments.getString(definition.key());
      if (value != null) {
        flags.put(definition.key(), value);
      }
    }
    return flags;
  }
}
