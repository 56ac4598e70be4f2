package org.fallturn.rehearsal.emulator;

/** The events of an engine's stream; each names its number and the version that made it. */
public final class StreamEvents {

  /** Events of each stream. */
  public static final int COUNT = 4;

  private StreamEvents() {}

  /**
   * Returns the events of a stream that follow an event.
   *
   * @param lastEvent number of that event; 0 for the whole stream
   * @param softwareVersion version of the engine that makes them
   */
  public static String after(int lastEvent, String softwareVersion) {
    StringBuilder events = new StringBuilder();
    for (int event = lastEvent + 1; event <= COUNT; event++) {
      events.append(event(event, softwareVersion));
    }
    return events.toString();
  }

  static String event(int number, String softwareVersion) {
    return "id: " + number + "\ndata: piece-" + number + " of " + softwareVersion + "\n\n";
  }
}
