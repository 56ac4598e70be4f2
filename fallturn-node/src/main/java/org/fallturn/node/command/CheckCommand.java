package org.fallturn.node.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.settings.GatewaySettings;
import org.fallturn.node.settings.NodeSettings;
import org.fallturn.node.settings.SettingDefinition;
import org.fallturn.node.settings.SettingMistake;
import org.fallturn.node.settings.SettingsReader;

/** {@code fallturn check}: reports all mistakes in a settings file, or lists all settings. */
public final class CheckCommand implements Command {

  private static final String FILE = "file";
  private static final String GATEWAY = "gateway";
  private static final String DESCRIBE = "describe";

  private final PrintStream out;

  /** Creates the command; it prints to the given stream. */
  public CheckCommand(PrintStream out) {
    this.out = out;
  }

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String help() {
    return "check a settings file, or list all settings";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument(FILE).nargs("?").metavar("FILE").help("settings file (TOML)");
    parser
        .addArgument("--" + GATEWAY)
        .action(Arguments.storeTrue())
        .help("the settings of a gateway process instead of a node's");
    parser
        .addArgument("--" + DESCRIBE)
        .action(Arguments.storeTrue())
        .help("list every setting with default, bounds and purpose as a table");
  }

  @Override
  public int run(Namespace arguments) {
    boolean gateway = arguments.getBoolean(GATEWAY);
    if (arguments.getBoolean(DESCRIBE)) {
      describe(gateway ? GatewaySettings.definitions() : NodeSettings.definitions());
      return OK;
    }
    String file = arguments.getString(FILE);
    if (file == null) {
      out.println("name a settings file, or ask for --describe");
      return USAGE;
    }
    return check(Path.of(file), gateway ? GatewaySettings.reader() : NodeSettings.reader());
  }

  private int check(Path file, SettingsReader reader) {
    List<SettingMistake> mistakes = reader.file(file).mistakes();
    mistakes.forEach(out::println);
    if (mistakes.isEmpty()) {
      out.println(file + ": good");
    }
    return mistakes.isEmpty() ? OK : FAILED;
  }

  private void describe(List<SettingDefinition<?>> definitions) {
    out.println("| Setting | Default | Allowed | Purpose |");
    out.println("|---|---|---|---|");
    for (SettingDefinition<?> definition : definitions) {
      out.printf(
          "| `%s` | `%s` | %s | %s |%n",
          definition.key(), definition.defaultText(), definition.allowed(), definition.doc());
    }
  }
}
