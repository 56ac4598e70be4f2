package org.fallturn.rehearsal.emulator;

import java.util.Map;

/**
 * A copy of the emulated store's rows, from which it can be restored.
 *
 * @param rows the rows by table and key
 * @param version the version of the store when the copy was made
 */
public record StoreCopy(Map<String, EmulatedRow> rows, long version) {

  /** Copies the rows. */
  public StoreCopy {
    rows = Map.copyOf(rows);
  }
}
