package org.fallturn.rehearsal.workload;

import java.util.List;
import java.util.stream.Collectors;

/** A workload file has mistakes; all of them are listed. */
public final class WorkloadFileException extends Exception {
  private final transient List<WorkloadProblem> problems;

  WorkloadFileException(List<WorkloadProblem> problems) {
    super(problems.stream().map(WorkloadProblem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** Every mistake found, in the order of the file's parts. */
  public List<WorkloadProblem> problems() {
    return problems;
  }
}
