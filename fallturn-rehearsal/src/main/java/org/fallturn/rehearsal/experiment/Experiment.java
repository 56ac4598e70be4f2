package org.fallturn.rehearsal.experiment;

import java.io.PrintStream;

/** One experiment of {@code fallturn-rehearsal experiment}. Stateless. */
public interface Experiment {
  /** Its name on the command line. */
  String name();

  /**
   * Runs it, writes its files into the output folder and prints its table.
   *
   * @return the exit status
   */
  int run(ExperimentOptions options, PrintStream output) throws Exception;
}
