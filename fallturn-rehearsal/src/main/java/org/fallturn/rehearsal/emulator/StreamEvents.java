package org.fallturn.rehearsal.emulator;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The events of an engine's stream; each names its number and the version that made it. */
public final class StreamEvents {

  /** Events of each stream. */
  public static final int COUNT = 4;

  private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: piece-\\1 of (\\S+)\n\n");

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

  /** The version of the first whole event; empty when there is none. */
  public static Optional<String> firstVersion(String events) {
    return versions(events).stream().findFirst();
  }

  /** The versions of all whole events, in order of their first one. */
  public static Set<String> versions(String events) {
    Set<String> versions = new LinkedHashSet<>();
    Matcher matcher = EVENT.matcher(events);
    while (matcher.find()) {
      versions.add(matcher.group(2));
    }
    return versions;
  }

  /** The number of the last whole event; 0 when there is none. */
  public static int last(String events) {
    int last = 0;
    Matcher matcher = EVENT.matcher(events);
    while (matcher.find()) {
      last = Integer.parseInt(matcher.group(1));
    }
    return last;
  }

  /** The events without their versions. */
  public static String withoutVersions(String events) {
    return EVENT.matcher(events).replaceAll("id: $1\ndata: piece-$1\n\n");
  }

  static String event(int number, String softwareVersion) {
    return "id: " + number + "\ndata: piece-" + number + " of " + softwareVersion + "\n\n";
  }
}
