package org.fallturn.core.admission;

import java.util.Arrays;

/** Divides an amount so that the smallest demands are met first. Holds no state. */
final class FairDivision {

  private FairDivision() {}

  /** The level up to which each demand can be met when all demands share an amount. */
  static double level(double amount, double[] demands) {
    double[] rising = demands.clone();
    Arrays.sort(rising);
    double left = amount;
    for (int index = 0; index < rising.length; index++) {
      double even = left / (rising.length - index);
      if (rising[index] >= even) {
        return even;
      }
      left -= rising[index];
    }
    return Double.POSITIVE_INFINITY;
  }
}
