package org.fallturn.rehearsal;

import java.util.List;
import org.fallturn.node.command.Command;
import org.fallturn.node.command.CommandLine;
import org.fallturn.rehearsal.application.ApplicationCommand;
import org.fallturn.rehearsal.engine.EngineCommandLine;
import org.fallturn.rehearsal.platform.PlatformCommand;

/**
 * Entry point of a stand-in process, which fleets of processes start: the platform, an engine or an
 * application back end. It knows nothing of fleets and experiments, so that they can know it.
 */
public final class StandInMain {

  /** The stand-ins, each a sub-command. */
  public static final List<Command> COMMANDS =
      List.of(new PlatformCommand(), new EngineCommandLine(), new ApplicationCommand());

  private StandInMain() {}

  /** Runs one stand-in and exits with its status. */
  public static void main(String[] arguments) {
    System.exit(
        new CommandLine("fallturn-stand-in", "Stand-ins for tests of fallturn.", COMMANDS)
            .run(arguments));
  }
}
