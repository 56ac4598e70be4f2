package org.fallturn.rehearsal.scale;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** What the scale experiment can play, in the order in which it plays them. */
enum ScaleEvent {
  /** 100 configuration changes and a tenth of the nodes replaced, both within a minute. */
  CHANGES,
  /** Two regions lose each other and find each other again. */
  PARTITION,
  /** The table and the object store are down for a while. */
  STORE,
  /** The nodes of a rack die. */
  RACK,
  /** The nodes of a zone die. */
  ZONE;

  /** Its name on the command line. */
  String option() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** The names of all. */
  static List<String> options() {
    return Arrays.stream(values()).map(ScaleEvent::option).toList();
  }

  /** The events of the given names, in playing order. */
  static List<ScaleEvent> of(List<String> options) {
    return Arrays.stream(values()).filter(event -> options.contains(event.option())).toList();
  }
}
