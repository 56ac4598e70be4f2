package org.fallturn.rehearsal.platform;

import java.util.Set;

/**
 * What goes wrong at the platform, {@code POST /control/faults}. Replaces the faults before it.
 *
 * @param refusing parts that answer 503 without effect
 * @param silent parts that never answer and do nothing
 * @param delayMillis added to every answer; the effect comes after the delay
 * @param loseAnswers so many next table writes take effect but their answers are lost
 * @param loseTable only writes of this table lose their answers; empty for any
 */
public record PlatformFaults(
    Set<Part> refusing, Set<Part> silent, long delayMillis, int loseAnswers, String loseTable) {

  /** Nothing goes wrong. */
  public static final PlatformFaults NONE = new PlatformFaults(Set.of(), Set.of(), 0, 0, "");

  /** Private copies; absent fields mean no fault. */
  public PlatformFaults {
    refusing = refusing == null ? Set.of() : Set.copyOf(refusing);
    silent = silent == null ? Set.of() : Set.copyOf(silent);
    loseTable = loseTable == null ? "" : loseTable;
  }

  /** The table service does not answer: refused or silent. */
  public static PlatformFaults tableRefusing() {
    return new PlatformFaults(Set.of(Part.TABLE), Set.of(), 0, 0, "");
  }

  /** Writes of a table take effect, but that many answers are lost. */
  public static PlatformFaults losingAnswers(int count, String table) {
    return new PlatformFaults(Set.of(), Set.of(), 0, count, table);
  }

  /** A part of the platform. */
  public enum Part {
    /** The table service. */
    TABLE,
    /** The object store. */
    OBJECTS,
    /** The machine list. */
    MACHINES,
    /** The weight store. */
    WEIGHTS
  }
}
