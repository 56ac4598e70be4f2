package org.fallturn.rehearsal.engine;

/**
 * When the engine crashes, {@code POST /control/crash}.
 *
 * @param point the moment
 * @param afterTokens for AFTER_TOKENS, tokens generated from now on until the crash
 * @param downMillis how long it stays down before it starts anew, empty; 0 for ever
 */
public record CrashPlan(Point point, long afterTokens, long downMillis) {

  /** No crash. */
  public static final CrashPlan NEVER = new CrashPlan(Point.NEVER, 0, 0);

  /** A moment to crash at. */
  public enum Point {
    /** Not at all. */
    NEVER,
    /** At once. */
    NOW,
    /** Right after the next role change was accepted and begun. */
    IN_ROLE_CHANGE,
    /** Right after the next load was accepted and begun. */
    IN_LOAD,
    /** In the middle of streams. */
    AFTER_TOKENS
  }
}
