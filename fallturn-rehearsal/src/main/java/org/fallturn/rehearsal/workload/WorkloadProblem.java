package org.fallturn.rehearsal.workload;

/**
 * One mistake in a workload file.
 *
 * @param line line number from 1; 0 when the whole file is meant
 * @param field dotted name of the field, or empty for a syntax mistake
 * @param message what is wrong
 */
public record WorkloadProblem(int line, String field, String message) {
  @Override
  public String toString() {
    String where = field.isEmpty() ? "line " + line : "line " + line + ", " + field;
    return where + ": " + message;
  }
}
