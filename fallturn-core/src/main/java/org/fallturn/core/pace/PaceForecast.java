package org.fallturn.core.pace;

import java.util.OptionalDouble;

/**
 * What was believed of an engine's pace when work was sent there, so that the ways of knowing it
 * can be judged by what came. All are natural logarithms of factors. Immutable.
 *
 * @param lasting what the engine is
 * @param moment by how much it seems to differ from that now
 * @param own what the engine says of itself
 * @param all what was gone by
 */
public record PaceForecast(double lasting, double moment, OptionalDouble own, double all) {

  /** Nothing is known. */
  static final PaceForecast NONE = new PaceForecast(0, 0, OptionalDouble.empty(), 0);

  /** The factor that was gone by. */
  public double slowness() {
    return Math.exp(all);
  }
}
