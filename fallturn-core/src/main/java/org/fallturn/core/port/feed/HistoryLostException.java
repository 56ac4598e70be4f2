package org.fallturn.core.port.feed;

/** The store no longer has the changes that were asked for; the table must be read whole. */
public class HistoryLostException extends Exception {

  /** Says which position was asked for. */
  public HistoryLostException(StorePosition after) {
    super("the changes after position " + after + " are gone");
  }
}
