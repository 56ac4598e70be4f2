package org.fallturn.core.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A person or program that may use the operators' door.
 *
 * @param operator name, for the audit trail
 * @param keyHash hexadecimal SHA-256 of the operator's key
 * @param role what it may do
 */
public record OperatorRecord(String operator, String keyHash, Role role)
    implements ConfigurationRecord {

  @Override
  @JsonIgnore
  public String key() {
    return operator;
  }

  /** What an operator may do. */
  public enum Role {
    /** Read only. */
    VIEWER,
    /** Read and change. */
    OPERATOR
  }
}
