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

/** Parses the command line of a program with sub-commands and runs one. For the main thread. */
public final class CommandLine {

  private static final String COMMAND_KEY = "command";

  private final String program;
  private final ArgumentParser parser;
  private final Map<String, Command> commands = new LinkedHashMap<>();

  /**
   * Creates the command line.
   *
   * @param program name of the program
   * @param description one line for the help
   * @param subcommands the sub-commands
   */
  public CommandLine(String program, String description, List<Command> subcommands) {
    this.program = program;
    parser = ArgumentParsers.newFor(program).build().description(description);
    Subparsers subparsers = parser.addSubparsers().dest(COMMAND_KEY).metavar("COMMAND");
    for (Command command : subcommands) {
      commands.put(command.name(), command);
      command.declare(subparsers.addParser(command.name()).help(command.help()));
    }
  }

  /**
   * Parses the arguments and runs the selected command.
   *
   * @param arguments the words after the program's name
   * @return the exit code
   */
  public int run(String... arguments) {
    try {
      Namespace namespace = parser.parseArgs(arguments);
      return commands.get(namespace.getString(COMMAND_KEY)).run(namespace);
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
