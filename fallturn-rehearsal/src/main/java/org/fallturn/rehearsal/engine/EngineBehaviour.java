package org.fallturn.rehearsal.engine;

/**
 * How the engine behaves from now on, {@code POST /control/behaviour}.
 *
 * @param leaving whether it refuses new work because it will stop
 * @param slowness factor on the time of each step, 1 for none
 */
public record EngineBehaviour(boolean leaving, double slowness) {

  /** Neither leaving nor slow. */
  public static final EngineBehaviour NORMAL = new EngineBehaviour(false, 1);
}
