package org.fallturn.rehearsal.emulator;

import java.util.Locale;

/** The rows that engines keep in the store. */
final class EngineRowText {

  private EngineRowText() {}

  static String of(EmulatedEngine engine, boolean draining) {
    return String.format(
        Locale.ROOT,
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-1\",\"version\":\"%s\",\"slots\":8,"
            + "\"state\":\"%s\",\"stage\":\"%s\",\"coldRemainingMs\":0,\"sequence\":1%s}",
        engine.service(),
        engine.address(),
        engine.softwareVersion(),
        draining ? "draining" : "ready",
        engine.stage(),
        engine.born());
  }
}
