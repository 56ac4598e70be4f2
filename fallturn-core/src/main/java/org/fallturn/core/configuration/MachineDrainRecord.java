package org.fallturn.core.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * An operator has asked for a machine to get no new work. Removing the record returns it.
 *
 * @param machine id as in the machine list
 * @param reason why, for the audit trail
 */
public record MachineDrainRecord(String machine, String reason) implements ConfigurationRecord {

  @Override
  @JsonIgnore
  public String key() {
    return machine;
  }
}
