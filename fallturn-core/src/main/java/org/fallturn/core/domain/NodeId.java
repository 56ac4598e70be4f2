package org.fallturn.core.domain;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of one running fallturn node process; a restarted process takes a new one.
 *
 * @param value non-blank text, compared exactly
 */
public record NodeId(@JsonValue String value) implements Comparable<NodeId> {

  /** Rejects blank text. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public NodeId {
    Identifiers.requireText(value, "node id");
  }

  @Override
  public int compareTo(NodeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
