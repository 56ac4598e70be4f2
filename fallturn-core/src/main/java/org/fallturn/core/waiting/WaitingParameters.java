package org.fallturn.core.waiting;

/**
 * Which decisions on competing requests are made; each may be turned off on its own.
 *
 * @param evenFill whether application requests are divided over the engines together with those
 *     that the fleet sends unheard; else each goes to the engine that seems emptiest
 */
public record WaitingParameters(boolean evenFill) {

  /** All decisions are made. */
  public static final WaitingParameters ALL = new WaitingParameters(true);
}
