package org.fallturn.core.configuration;

/**
 * The head of the accepted sequence as read from the table.
 *
 * @param rowVersion version of the table row, for compare-and-set; 0 when there is no row yet
 * @param version the newest accepted version; 0 before the first change
 */
public record HeadRow(long rowVersion, long version) {

  /** The head before the first change. */
  public static final HeadRow NONE = new HeadRow(0, 0);
}
