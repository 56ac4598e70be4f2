package org.fallturn.node.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.settings.NodeSettings;
import org.fallturn.node.settings.SettingDefinition;
import org.fallturn.node.settings.SettingMistake;

/** {@code fallturn check}: finds every mistake in a settings file, or lists all settings. */
public final class CheckCommand implements Command {

  private static final String FILE = "file";
  private static final String DESCRIBE = "describe";

  private final PrintStream out;

  /** Prints to the given stream. */
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
        .addArgument("--" + DESCRIBE)
        .action(Arguments.storeTrue())
        .help("list every setting with default, bounds and purpose as a table");
  }

  @Override
  public int run(Namespace arguments) {
    if (arguments.getBoolean(DESCRIBE)) {
      describe();
      return OK;
    }
    String file = arguments.getString(FILE);
    if (file == null) {
      out.println("name a settings file, or ask for --describe");
      return USAGE;
    }
    return check(Path.of(file));
  }

  private int check(Path file) {
    List<SettingMistake> mistakes = NodeSettings.reader().file(file).mistakes();
    mistakes.forEach(out::println);
    if (mistakes.isEmpty()) {
      out.println(file + ": good");
    }
    return mistakes.isEmpty() ? OK : FAILED;
  }

  private void describe() {
    out.println("| Setting | Default | Allowed | Purpose |");
    out.println("|---|---|---|---|");
    for (SettingDefinition<?> definition : NodeSettings.definitions()) {
      out.printf(
          "| `%s` | `%s` | %s | %s |%n",
          definition.key(), definition.defaultText(), definition.allowed(), definition.doc());
    }
  }
}
