package org.fallturn.node.command;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** A sub-command of a command-line program. Called on the main thread. */
public interface Command {

  /** Exit code of a successful run. */
  int OK = 0;

  /** Exit code of a run that failed. */
  int FAILED = 1;

  /** Exit code for wrong arguments or settings. */
  int USAGE = 2;

  /** Returns the name that selects the command on the command line. */
  String name();

  /** Returns the help text, one line. */
  String help();

  /** Declares the command's arguments. */
  void declare(Subparser parser);

  /**
   * Runs the command.
   *
   * @param arguments the parsed arguments
   * @return the exit code
   */
  int run(Namespace arguments) throws Exception;
}
