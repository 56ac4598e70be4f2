package org.fallturn.node.command;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One sub-command of a program. Called on the main thread. */
public interface Command {

  /** Exit code of a run that did what was asked. */
  int OK = 0;

  /** Exit code of a run that failed. */
  int FAILED = 1;

  /** Exit code of a run that was asked for wrongly. */
  int USAGE = 2;

  /** The word that picks it. */
  String name();

  /** One line of help. */
  String help();

  /** Declares its arguments. */
  void declare(Subparser parser);

  /**
   * Runs it.
   *
   * @return the exit code
   */
  int run(Namespace arguments) throws Exception;
}
