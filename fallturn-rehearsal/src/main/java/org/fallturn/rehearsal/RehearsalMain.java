package org.fallturn.rehearsal;

import java.util.List;
import java.util.stream.Stream;
import org.fallturn.node.command.Command;
import org.fallturn.node.command.CommandLine;
import org.fallturn.rehearsal.experiment.ExperimentCommand;
import org.fallturn.rehearsal.faults.FaultsCommand;
import org.fallturn.rehearsal.load.LoadCommand;
import org.fallturn.rehearsal.modelcheck.CheckInvariantsCommand;
import org.fallturn.rehearsal.quickstart.QuickstartCommand;
import org.fallturn.rehearsal.signals.SignalsCommand;
import org.fallturn.rehearsal.soak.SoakCommand;

/** Entry point of {@code fallturn-rehearsal}; each sub-command is one entry of the list. */
public final class RehearsalMain {

  private static final List<Command> COMMANDS =
      Stream.concat(
              StandInMain.COMMANDS.stream(),
              Stream.of(
                  new FaultsCommand(),
                  new LoadCommand(),
                  new QuickstartCommand(),
                  new CheckInvariantsCommand(),
                  new SignalsCommand(),
                  new SoakCommand(),
                  new ExperimentCommand()))
          .toList();

  private RehearsalMain() {}

  /** Runs one sub-command and exits with its status. */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  /** Runs one sub-command; gives its exit status. */
  public static int run(String... arguments) {
    return new CommandLine(
            "fallturn-rehearsal", "Stand-ins, load and experiments for fallturn.", COMMANDS)
        .run(arguments);
  }
}
