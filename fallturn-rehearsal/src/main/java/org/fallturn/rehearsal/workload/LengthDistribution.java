package org.fallturn.rehearsal.workload;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Distribution of a number of tokens: log-normal around a median, cut off at both ends. A sigma of
 * 0 gives the median always; above 1 the tail is heavy.
 *
 * @param median half of the samples are below it
 * @param sigma standard deviation of the logarithm
 * @param min smallest length
 * @param max largest length
 */
public record LengthDistribution(int median, double sigma, int min, int max) {
  private static final int INTEGRATION_POINTS = 400;
  private static final double INTEGRATION_WIDTH = 4.0;

  /** Rejects bounds that do not hold the median. */
  public LengthDistribution {
    if (min < 1 || median < min || max < median || !(sigma >= 0)) {
      throw new IllegalArgumentException("needs 1 <= min <= median <= max and sigma >= 0");
    }
  }

  /** Draws a length. */
  public int sample(UniformRandomProvider random) {
    return at(ZigguratSampler.NormalizedGaussian.of(random).sample());
  }

  /** Mean of the distribution with its ends cut off. */
  public double mean() {
    double sum = 0;
    double weights = 0;
    for (int point = 0; point <= INTEGRATION_POINTS; point++) {
      double normal = INTEGRATION_WIDTH * (2.0 * point / INTEGRATION_POINTS - 1);
      double weight = Math.exp(-normal * normal / 2);
      sum += weight * at(normal);
      weights += weight;
    }
    return sum / weights;
  }

  private int at(double normal) {
    double length = median * Math.exp(sigma * normal);
    return (int) Math.max(min, Math.min(max, Math.round(length)));
  }
}
