package org.fallturn.rehearsal.experiment;

import java.nio.file.Path;
import java.util.List;

/**
 * What an experiment is asked to do.
 *
 * @param seeds how many seeds
 * @param firstSeed the first one; the others follow it
 * @param output folder for tables and plots
 * @param threads runs at once
 * @param real whether to play on real processes instead of the simulator
 * @param workloads workload files or names of built-in ones; empty for the experiment's own choice
 * @param shifts names of the shifts to play; empty for all
 */
public record ExperimentOptions(
    int seeds,
    long firstSeed,
    Path output,
    int threads,
    boolean real,
    List<String> workloads,
    List<String> shifts) {
  /** Private copies of the lists. */
  public ExperimentOptions {
    workloads = List.copyOf(workloads);
    shifts = List.copyOf(shifts);
  }
}
