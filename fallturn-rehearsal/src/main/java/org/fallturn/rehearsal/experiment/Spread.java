package org.fallturn.rehearsal.experiment;

import java.util.List;

/**
 * Mean and spread of a figure over the seeds.
 *
 * @param mean arithmetic mean
 * @param deviation standard deviation of the sample
 * @param least smallest value
 * @param most largest value
 */
public record Spread(double mean, double deviation, double least, double most) {
  /** The spread of some values, at least one. */
  public static Spread of(List<Double> values) {
    double mean = values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
    double squares = 0;
    double least = Double.POSITIVE_INFINITY;
    double most = Double.NEGATIVE_INFINITY;
    for (double value : values) {
      squares += (value - mean) * (value - mean);
      least = Math.min(least, value);
      most = Math.max(most, value);
    }
    double deviation = values.size() > 1 ? Math.sqrt(squares / (values.size() - 1)) : 0;
    return new Spread(mean, deviation, least, most);
  }
}
