package org.fallturn.rehearsal.emulator;

import java.util.Locale;
import org.fallturn.core.domain.NetworkAddress;

/** The rows that engines keep in the store. */
final class EngineRowText {

  private EngineRowText() {}

  static String of(EmulatedEngine engine, boolean draining) {
    return of(
        engine.service(),
        engine.address(),
        engine.softwareVersion(),
        draining ? "draining" : "ready",
        engine.stage(),
        engine.born());
  }

  /** The row of an engine that is ready, of the first version, and does not tell its start. */
  static String of(String service, NetworkAddress address, String stage) {
    return of(service, address, EmulatedEngine.FIRST_VERSION, "ready", stage, "");
  }

  private static String of(
      String service,
      NetworkAddress address,
      String softwareVersion,
      String state,
      String stage,
      String born) {
    return String.format(
        Locale.ROOT,
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-1\",\"version\":\"%s\",\"slots\":8,"
            + "\"state\":\"%s\",\"stage\":\"%s\",\"coldRemainingMs\":0,\"sequence\":1%s}",
        service,
        address,
        softwareVersion,
        state,
        stage,
        born);
  }
}
