package org.fallturn.core.domain;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a tenant: one customer whose work is kept apart from all others.
 *
 * @param value non-blank text, compared exactly
 */
public record TenantName(@JsonValue String value) implements Comparable<TenantName> {

  /** Rejects blank text. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public TenantName {
    Identifiers.requireText(value, "tenant name");
  }

  @Override
  public int compareTo(TenantName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
