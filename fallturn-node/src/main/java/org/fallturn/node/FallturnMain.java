package org.fallturn.node;

import java.util.List;
import org.fallturn.node.command.CheckCommand;
import org.fallturn.node.command.Command;
import org.fallturn.node.command.CommandLine;
import org.fallturn.node.command.ExplainCommand;
import org.fallturn.node.command.NodeCommand;
import org.fallturn.node.query.QueryCommand;

/** Entry point of the {@code fallturn} program: picks a sub-command and runs it. */
public final class FallturnMain {

  private FallturnMain() {}

  /** Runs the program and ends the process with the command's exit code. */
  public static void main(String[] arguments) {
    CommandLine line = new CommandLine("fallturn", "Serves language models.", commands());
    System.exit(line.run(arguments));
  }

  private static List<Command> commands() {
    return List.of(
        new NodeCommand(System.out),
        new CheckCommand(System.out),
        new ExplainCommand(System.out),
        new QueryCommand(System.in, System.out, System.err, System.getenv()));
  }
}
