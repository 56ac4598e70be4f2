package org.fallturn.node.operators;

import java.util.List;
import org.fallturn.core.query.Row;

/**
 * What one node answers to a query.
 *
 * @param node its id
 * @param ageMillis how old its rows were when it answered
 * @param rows rows of the table that meet the condition
 * @param truncated whether it has more
 */
record TablePart(String node, long ageMillis, List<Row> rows, boolean truncated) {

  /** Path where a node answers {@link TablePartRequest}. */
  static final String PATH = "/peer/query/part";

  /** A private copy of the rows. */
  TablePart {
    rows = List.copyOf(rows);
  }
}
