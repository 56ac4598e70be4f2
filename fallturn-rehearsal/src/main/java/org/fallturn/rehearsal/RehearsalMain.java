package org.fallturn.rehearsal;

import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.fallturn.rehearsal.application.ApplicationCommand;
import org.fallturn.rehearsal.engine.EngineCommandLine;
import org.fallturn.rehearsal.experiment.ExperimentCommand;
import org.fallturn.rehearsal.faults.FaultsCommand;
import org.fallturn.rehearsal.load.LoadCommand;
import org.fallturn.rehearsal.modelcheck.CheckInvariantsCommand;
import org.fallturn.rehearsal.platform.PlatformCommand;
import org.fallturn.rehearsal.quickstart.QuickstartCommand;
import org.fallturn.rehearsal.scale.HollowNodesCommand;

/** Entry point of {@code fallturn-rehearsal}; each sub-command is one entry of the list. */
public final class RehearsalMain {

  private static final String COMMAND = "command";
  private static final int USAGE_ERROR = 2;

  private static final List<RehearsalCommand> COMMANDS =
      List.of(
          new PlatformCommand(),
          new EngineCommandLine(),
          new ApplicationCommand(),
          new FaultsCommand(),
          new HollowNodesCommand(),
          new LoadCommand(),
          new QuickstartCommand(),
          new CheckInvariantsCommand(),
          new ExperimentCommand());

  private RehearsalMain() {}

  /** Runs one sub-command and exits with its status. */
  public static void main(String[] arguments) throws Exception {
    System.exit(run(arguments));
  }

  /** Runs one sub-command; gives its exit status. */
  public static int run(String... arguments) throws Exception {
    ArgumentParser parser =
        ArgumentParsers.newFor("fallturn-rehearsal")
            .build()
            .description("Stand-ins, load and experiments for fallturn.");
    Subparsers subparsers = parser.addSubparsers().title("commands").metavar("COMMAND");
    for (RehearsalCommand command : COMMANDS) {
      Subparser subparser = subparsers.addParser(command.name()).help(command.help());
      subparser.setDefault(COMMAND, command);
      command.configure(subparser);
    }
    try {
      Namespace namespace = parser.parseArgs(arguments);
      RehearsalCommand command = namespace.get(COMMAND);
      return command.run(namespace);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      return USAGE_ERROR;
    }
  }
}
