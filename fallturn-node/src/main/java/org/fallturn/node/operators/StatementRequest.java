package org.fallturn.node.operators;

import java.util.OptionalLong;

/**
 * Body of {@code POST /operators/statement}.
 *
 * @param statement one submission
 * @param expectedVersion the version the operator has seen; a change is refused on any other
 * @param waitMillis how long to wait for a change to be in force everywhere; absent for the default
 */
public record StatementRequest(
    String statement, OptionalLong expectedVersion, OptionalLong waitMillis) {

  /** Path it is posted to. */
  public static final String PATH = "/operators/statement";

  /** A request for the statement alone. */
  public static StatementRequest of(String statement) {
    return new StatementRequest(statement, OptionalLong.empty(), OptionalLong.empty());
  }
}
