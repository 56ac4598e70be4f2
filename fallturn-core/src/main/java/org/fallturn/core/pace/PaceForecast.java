package org.fallturn.core.pace;

import java.util.OptionalDouble;

/**
 * Forecast of an engine's pace at the time work was sent there. It is kept so that the outcome can
 * be compared with each of its parts. All values are natural logarithms of factors. Immutable.
 *
 * @param longTerm long-term pace of the engine
 * @param shortTerm current deviation from the long-term pace
 * @param reported pace that the engine reports about itself
 * @param combined value that decisions used
 */
public record PaceForecast(
    double longTerm, double shortTerm, OptionalDouble reported, double combined) {

  /** Forecast for an engine without samples. */
  static final PaceForecast NONE = new PaceForecast(0, 0, OptionalDouble.empty(), 0);

  /** Returns the factor that decisions used. */
  public double slowness() {
    return Math.exp(combined);
  }
}
