package org.fallturn.core.admission;

import java.util.Arrays;

/** Divides an amount so that the smallest wishes are met first. Holds no state. */
final class FairDivision {

  private FairDivision() {}

  /** The level up to which each wish can be met when all wishes share an amount. */
  static double level(double amount, double[] wishes) {
    double[] rising = wishes.clone();
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
