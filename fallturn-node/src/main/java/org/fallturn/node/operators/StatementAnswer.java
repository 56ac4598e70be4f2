package org.fallturn.node.operators;

import java.util.List;
import java.util.Optional;
import org.fallturn.core.query.Row;

/**
 * Answer to a statement.
 *
 * @param kind what happened
 * @param version the configuration version in force on the answering node
 * @param columns names of the columns of {@code rows}
 * @param rows the result of a query, or what a change did, or would do
 * @param truncated whether there are more rows than could be answered
 * @param parts where the rows of a query come from
 * @param generatedKeys keys made for new rows; shown only here
 * @param inForce on how many nodes an accepted change is in force
 */
public record StatementAnswer(
    Kind kind,
    long version,
    List<String> columns,
    List<Row> rows,
    boolean truncated,
    List<Part> parts,
    List<GeneratedKey> generatedKeys,
    Optional<InForce> inForce) {

  /** Private copies of the lists. */
  public StatementAnswer {
    columns = List.copyOf(columns);
    rows = List.copyOf(rows);
    parts = List.copyOf(parts);
    generatedKeys = List.copyOf(generatedKeys);
  }

  /** What happened. */
  public enum Kind {
    /** A query was answered. */
    ROWS,
    /** A change was accepted as {@link StatementAnswer#version()}. */
    ACCEPTED,
    /** A change would have changed nothing, so there is no new version. */
    UNCHANGED,
    /** Nothing was done; the rows say what would be. */
    EXPLAINED
  }

  /**
   * Part of a query's answer.
   *
   * @param source the node or the part of the fleet it comes from
   * @param ageMillis how old its rows are
   * @param rows how many rows it gave
   * @param missing why it gave none; empty when it answered
   */
  public record Part(String source, long ageMillis, int rows, String missing) {}

  /**
   * How far an accepted change has come.
   *
   * @param nodesInForce nodes that have it in force
   * @param nodes nodes known
   * @param laggards ids of nodes known without it
   * @param missingZones zones of which no node answered
   */
  public record InForce(
      int nodesInForce, int nodes, List<String> laggards, List<String> missingZones) {

    /** Whether it is in force on every node. */
    public boolean complete() {
      return nodesInForce == nodes && missingZones.isEmpty();
    }
  }

  /** Whether rows or nodes are missing. */
  public boolean incomplete() {
    boolean partMissing = parts.stream().anyMatch(part -> !part.missing().isEmpty());
    return partMissing || inForce.map(state -> !state.complete()).orElse(false);
  }
}
