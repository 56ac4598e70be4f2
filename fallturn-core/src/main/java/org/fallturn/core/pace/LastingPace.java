package org.fallturn.core.pace;

/**
 * What one engine is, apart from what it is now: a mean that begins at the usual and is drawn to it
 * while few samples speak against it. It lasts for as many samples as it is made of and, where none
 * come, for as long as those took to come. One thread calls.
 */
final class LastingPace {

  /** Samples that speak for the usual pace of the service from the start. */
  private static final double USUAL_SAMPLES = 4;

  /** The newest count as one of so many, so that an engine that has changed is known anew. */
  private static final double MEMORY_SAMPLES = 64;

  private double sum;
  private double samples;
  private double gapNanos;
  private long lastNanos;

  void add(double log, double weight, long nowNanos) {
    fade(nowNanos);
    if (samples > 0) {
      double gap = (nowNanos - lastNanos) / weight;
      gapNanos += (gap - gapNanos) * weight / (samples + weight);
    }
    lastNanos = nowNanos;
    double left = Math.min(1, MEMORY_SAMPLES / (samples + weight));
    sum = left * (sum + weight * log);
    samples = left * (samples + weight);
  }

  private void fade(long nowNanos) {
    double left = left(nowNanos);
    sum *= left;
    samples *= left;
  }

  /** What is left of the samples: all for as long as they took to come, then less and less. */
  private double left(long nowNanos) {
    double lasts = gapNanos * MEMORY_SAMPLES;
    double idle = nowNanos - lastNanos;
    return idle <= lasts || lasts == 0 ? 1 : lasts / idle;
  }

  /** The natural logarithm of the factor. */
  double log(long nowNanos) {
    double left = left(nowNanos);
    return left * sum / (left * samples + USUAL_SAMPLES);
  }
}
