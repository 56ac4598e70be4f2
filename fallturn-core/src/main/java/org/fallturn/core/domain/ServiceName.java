package org.fallturn.core.domain;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a service that tenants call: a model with its version, or an application.
 *
 * @param value non-blank text, compared exactly
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {

  /** Rejects blank text. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ServiceName {
    Identifiers.requireText(value, "service name");
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
