package org.fallturn.rehearsal.load;

import java.util.Map;
import org.fallturn.core.error.ErrorKind;

/**
 * What became of the requests of one class, or of all.
 *
 * @param name name of the class
 * @param requests requests sent
 * @param unsent requests held back because too many were in progress
 * @param complete answered whole and right
 * @param inDeadline of them, within the deadline
 * @param notRun refused as not run
 * @param unknown failed with unknown outcome, or cut
 * @param wrong answered with bytes that are not theirs
 * @param givenUp ended by the caller itself
 * @param tokens tokens received in complete answers
 * @param errors error answers by kind
 * @param firstToken from the intended start to the first byte of the answer's text
 * @param betweenTokens between events of one stream
 * @param total from the intended start to the end of a complete answer
 */
public record ClassReport(
    String name,
    long requests,
    long unsent,
    long complete,
    long inDeadline,
    long notRun,
    long unknown,
    long wrong,
    long givenUp,
    long tokens,
    Map<ErrorKind, Long> errors,
    Percentiles firstToken,
    Percentiles betweenTokens,
    Percentiles total) {

  /** A private copy of the errors. */
  public ClassReport {
    errors = Map.copyOf(errors);
  }

  /** Share of the requests answered completely within their deadline. */
  public double goodput() {
    return requests == 0 ? 1 : (double) inDeadline / requests;
  }
}
