package org.fallturn.rehearsal.workload;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * A parameter that a seed draws: a single number when both bounds are equal.
 *
 * @param low smallest value
 * @param high largest value, not below {@code low}
 */
public record NumberRange(double low, double high) {
  /** Rejects bounds in the wrong order. */
  public NumberRange {
    if (!(low <= high)) {
      throw new IllegalArgumentException("range must be [low, high], but is " + low + ", " + high);
    }
  }

  /** A range of one value. */
  public static NumberRange of(double value) {
    return new NumberRange(value, value);
  }

  /** Draws a value; takes one number from the generator in every case. */
  public double draw(UniformRandomProvider random) {
    return low + random.nextDouble() * (high - low);
  }
}
