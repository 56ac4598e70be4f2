package org.fallturn.core.placement;

/**
 * Fits {@code y = intercept + slope * x} to a stream of samples in which old ones fade. Intercept
 * and slope never fall below zero; a sample far from the fit is clipped, so that one stalled engine
 * moves it little.
 */
final class DecayingLinearFit {
  private static final double DECAY = 0.99;
  private static final double CLIP = 5;
  private static final double PRIOR_WEIGHT = 10;
  private static final double LEAST_VARIANCE = 1e-9;

  private double weight;
  private double sumX;
  private double sumY;
  private double sumXx;
  private double sumXy;
  private double intercept;
  private double slope;
  private long samples;

  /** Starts from the line through two points. */
  DecayingLinearFit(double firstX, double firstY, double secondX, double secondY) {
    insert(firstX, firstY, PRIOR_WEIGHT);
    insert(secondX, secondY, PRIOR_WEIGHT);
    solve();
  }

  void add(double x, double y) {
    if (!(x >= 0) || !(y > 0) || Double.isInfinite(y)) {
      return;
    }
    double expected = predict(x);
    double clipped = Math.min(Math.max(y, expected / CLIP), expected * CLIP);
    weight *= DECAY;
    sumX *= DECAY;
    sumY *= DECAY;
    sumXx *= DECAY;
    sumXy *= DECAY;
    insert(x, clipped, 1);
    solve();
    samples++;
  }

  double predict(double x) {
    return intercept + slope * x;
  }

  long samples() {
    return samples;
  }

  private void insert(double x, double y, double sampleWeight) {
    weight += sampleWeight;
    sumX += sampleWeight * x;
    sumY += sampleWeight * y;
    sumXx += sampleWeight * x * x;
    sumXy += sampleWeight * x * y;
  }

  private void solve() {
    double meanX = sumX / weight;
    double meanY = sumY / weight;
    double variance = sumXx / weight - meanX * meanX;
    double covariance = sumXy / weight - meanX * meanY;
    if (variance <= LEAST_VARIANCE * Math.max(1, meanX * meanX) || covariance <= 0) {
      slope = 0;
      intercept = meanY;
      return;
    }
    slope = covariance / variance;
    intercept = meanY - slope * meanX;
    if (intercept < 0) {
      intercept = 0;
      slope = sumXy / sumXx;
    }
  }
}
