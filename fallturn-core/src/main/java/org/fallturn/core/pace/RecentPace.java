package org.fallturn.core.pace;

import java.util.concurrent.TimeUnit;

/**
 * Recent pace samples of one engine in summarized form.
 *
 * <p>Samples decay exponentially. A node sends them to the others repeatedly until they have
 * decayed, and the receivers take a part of each message, so that each sample counts about once.
 * Immutable.
 *
 * @param sum sum of the natural logarithms of the factors by which work took longer than usual
 * @param samples number of samples that remain after the decay
 */
public record RecentPace(double sum, double samples) {

  /** No recent samples. */
  public static final RecentPace NONE = new RecentPace(0, 0);

  /**
   * Time constant of the decay. Nodes send messages every 100 ms, and one message in three may be
   * lost.
   */
  static final long DECAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Number of samples below which the summary is not worth its space in a message. */
  private static final double MIN_SAMPLES = 0.3;

  /** Factors closer to 1 than this are not sent. */
  private static final double MIN_DIFFERENCE = PaceBounds.MIN_LOG;

  private static final double PERCENT = 100;
  private static final double TENTHS = 10;

  /**
   * Decodes a summary from a message.
   *
   * @param percent mean factor in percent; 100 is usual
   * @param tenthsOfSamples number of samples in tenths
   */
  public static RecentPace of(int percent, int tenthsOfSamples) {
    double samples = Math.max(0, tenthsOfSamples) / TENTHS;
    return new RecentPace(samples * PaceBounds.log(percent / PERCENT), samples);
  }

  /** Returns the mean factor in percent; 100 is usual. */
  public int percent() {
    return (int) Math.round(PERCENT * Math.exp(mean()));
  }

  /** Returns the number of samples in tenths. */
  public int tenthsOfSamples() {
    return (int) Math.round(TENTHS * samples);
  }

  /** Returns the mean of the logarithms. */
  double mean() {
    return samples > 0 ? sum / samples : 0;
  }

  /** Returns whether the summary is not worth sending. */
  public boolean isNegligible() {
    return samples < MIN_SAMPLES || Math.abs(mean()) < MIN_DIFFERENCE;
  }

  /** Returns this summary, or {@link #NONE} when it is not worth sending. */
  public RecentPace dropIfNegligible() {
    return isNegligible() ? NONE : this;
  }

  /** Returns the sum of both summaries. */
  public RecentPace and(RecentPace other) {
    return other.samples == 0 ? this : new RecentPace(sum + other.sum, samples + other.samples);
  }

  /** Returns this summary after the given time has passed. */
  public RecentPace aged(long nanos) {
    if (samples == 0 || nanos <= 0) {
      return this;
    }
    double retained = Math.exp(-(double) nanos / DECAY_NANOS);
    return new RecentPace(sum * retained, samples * retained);
  }

  RecentPace with(double log, double weight) {
    return new RecentPace(sum + weight * log, samples + weight);
  }
}
