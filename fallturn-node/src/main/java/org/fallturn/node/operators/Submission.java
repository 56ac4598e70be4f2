package org.fallturn.node.operators;

import java.util.List;
import java.util.OptionalLong;
import org.fallturn.core.query.ChangeProgram;
import org.fallturn.core.query.Selection;

/** What an operator submitted, understood and checked against the schemas. */
sealed interface Submission {

  /**
   * A read.
   *
   * @param selection the read
   * @param where text of its condition, to be sent along to other nodes; empty without one
   * @param explain whether only to say what would be read
   */
  record Query(Selection selection, String where, boolean explain) implements Submission {}

  /**
   * A change, of one or more statements.
   *
   * @param program the statements
   * @param expectedVersion the version the operator has seen
   * @param explain whether only to say what would change
   * @param generatedKeys keys made for rows that were given without a hash
   */
  record Change(
      ChangeProgram program,
      OptionalLong expectedVersion,
      boolean explain,
      List<GeneratedKey> generatedKeys)
      implements Submission {

    /** A private copy of the keys. */
    public Change {
      generatedKeys = List.copyOf(generatedKeys);
    }
  }
}
