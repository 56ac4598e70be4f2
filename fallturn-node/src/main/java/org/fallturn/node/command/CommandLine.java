package org.fallturn.node.command;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** A program made of sub-commands. Called on the main thread. */
public final class CommandLine {

  private static final String CHOSEN = "command";

  private final String program;
  private final ArgumentParser parser;
  private final Map<String, Command> commands = new LinkedHashMap<>();

  /** A program of the given name and commands. */
  public CommandLine(String program, String description, List<Command> known) {
    this.program = program;
    parser = ArgumentParsers.newFor(program).build().description(description);
    Subparsers subparsers = parser.addSubparsers().dest(CHOSEN).metavar("COMMAND");
    for (Command command : known) {
      commands.put(command.name(), command);
      command.declare(subparsers.addParser(command.name()).help(command.help()));
    }
  }

  /**
   * Picks the command and runs it.
   *
   * @return the exit code
   */
  public int run(String... arguments) {
    try {
      Namespace namespace = parser.parseArgs(arguments);
      return commands.get(namespace.getString(CHOSEN)).run(namespace);
    } catch (HelpScreenException e) {
      return Command.OK;
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      return Command.USAGE;
    } catch (Exception e) {
      System.err.println(program + ": " + e);
      return Command.FAILED;
    }
  }
}
