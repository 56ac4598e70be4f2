package org.fallturn.rehearsal.emulator;

import java.util.List;

/** Rows as another writer may put them among those of the engines, and no engine does. */
public final class OddRowText {

  private static final int LEVELS = 100_000;
  private static final int DIGITS = 2_000;
  private static final int LONG_TEXT = 60_000;

  private static final String ROW =
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-1\",\"version\":%s,\"slots\":%s,"
          + "\"state\":\"ready\",\"stage\":\"decode\",\"leaves_ms\":%s,\"spot\":%s}";

  /** Nothing listens there. */
  private static final String ADDRESS = "127.0.0.1:1";

  private static final String SERVICE = EmulatedPlatform.MODEL_SERVICE;
  private static final String VERSION = "\"v1\"";
  private static final String MANY_DIGITS = "9".repeat(DIGITS);
  private static final String TOO_LARGE_FOR_A_DOUBLE = "1e400";

  private static final List<String> ROWS =
      List.of(
          row(SERVICE, ADDRESS, VERSION, "8", "0", nested()),
          row(SERVICE, ADDRESS, VERSION, MANY_DIGITS, "0", "false"),
          row(SERVICE, ADDRESS, VERSION, "8", MANY_DIGITS, "false"),
          row(SERVICE, ADDRESS, VERSION, TOO_LARGE_FOR_A_DOUBLE, "0", "false"),
          row(SERVICE, ADDRESS, VERSION, "8", TOO_LARGE_FOR_A_DOUBLE, "false"),
          row(SERVICE, ADDRESS, TOO_LARGE_FOR_A_DOUBLE, "2147483647", "0", "false"),
          row(SERVICE, "127.0.0.1:70000", VERSION, "8", "0", "false"),
          row(SERVICE, "127.0.0.1:-1", VERSION, "8", "0", "false"),
          row(SERVICE, "127.0.0.1:99999999999", VERSION, "8", "0", "false"),
          row("s".repeat(LONG_TEXT), ADDRESS, VERSION, "8", "0", "false"),
          row(SERVICE, ADDRESS, "\"" + "v".repeat(LONG_TEXT) + "\"", "8", "0", "false"),
          nested(),
          "{\"service\":\"" + SERVICE + "\"}",
          "\u0000\u0001\ufffd{",
          "");

  private OddRowText() {}

  private static String row(
      String service, String address, String version, String slots, String leaves, String spot) {
    return ROW.formatted(service, address, version, slots, leaves, spot);
  }

  private static String nested() {
    return "[".repeat(LEVELS) + "]".repeat(LEVELS);
  }

  /** Rows that stand for no engine. */
  public static List<String> rows() {
    return ROWS;
  }

  /** The row of an engine, which says when it ends: in 292 million years. */
  public static String endingLate(EmulatedEngine engine, boolean draining) {
    String row = EngineRowText.of(engine, draining);
    return row.substring(0, row.length() - 1) + ",\"leaves_ms\":" + Long.MAX_VALUE + "}";
  }
}
