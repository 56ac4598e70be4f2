package org.fallturn.core.pace;

import java.util.concurrent.TimeUnit;

/**
 * What work that ended lately says of the pace of one engine. Samples fade, so that the words that
 * are told again and again until they have faded count each sample about once. Immutable.
 *
 * @param sum of the natural logarithms of the factors by which work took longer than usual
 * @param samples how many there were, as far as they have not faded
 */
public record RecentPace(double sum, double samples) {

  /** Nothing ended lately. */
  public static final RecentPace NONE = new RecentPace(0, 0);

  /** Nodes tell each other every 100 ms, and one message of three may be lost. */
  static final long FADE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** What is left of a sample when it is not worth a place in a message any more. */
  private static final double LEAST_SAMPLES = 0.3;

  /** Factors nearer to 1 than this are not told. */
  private static final double LEAST_DIFFERENCE = PaceBounds.LEAST;

  private static final double PERCENT = 100;
  private static final double TENTHS = 10;

  /** A word as it was told. */
  public static RecentPace of(int percent, int tenthsOfSamples) {
    double samples = Math.max(0, tenthsOfSamples) / TENTHS;
    return new RecentPace(samples * PaceBounds.log(percent / PERCENT), samples);
  }

  /** The mean factor in percent; 100 as usual. */
  public int percent() {
    return (int) Math.round(PERCENT * Math.exp(mean()));
  }

  /** Tenths of samples. */
  public int tenthsOfSamples() {
    return (int) Math.round(TENTHS * samples);
  }

  /** Mean of the logarithms. */
  double mean() {
    return samples > 0 ? sum / samples : 0;
  }

  /** Whether it is not worth telling. */
  public boolean isNegligible() {
    return samples < LEAST_SAMPLES || Math.abs(mean()) < LEAST_DIFFERENCE;
  }

  /** The same, or none where it is not worth telling. */
  public RecentPace dropIfNegligible() {
    return isNegligible() ? NONE : this;
  }

  /** Both together. */
  public RecentPace and(RecentPace other) {
    return other.samples == 0 ? this : new RecentPace(sum + other.sum, samples + other.samples);
  }

  /** The same so much later. */
  public RecentPace aged(long nanos) {
    if (samples == 0 || nanos <= 0) {
      return this;
    }
    double left = Math.exp(-(double) nanos / FADE_NANOS);
    return new RecentPace(sum * left, samples * left);
  }

  RecentPace with(double log, double weight) {
    return new RecentPace(sum + weight * log, samples + weight);
  }
}
