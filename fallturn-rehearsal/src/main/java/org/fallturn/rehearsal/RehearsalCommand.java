package org.fallturn.rehearsal;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One sub-command of {@code fallturn-rehearsal}. */
public interface RehearsalCommand {

  /** Its name on the command line. */
  String name();

  /** One line for the help text. */
  String help();

  /** Declares its arguments. */
  void configure(Subparser parser);

  /**
   * Runs it.
   *
   * @return the exit status
   */
  int run(Namespace arguments) throws Exception;
}
