package org.fallturn.core.pace;

/**
 * A piece of work that an engine has done.
 *
 * @param engineId one start of an engine
 * @param kind whose pace it tells
 * @param work what is compared with each other: the same work of one service
 * @param millis how long it took
 * @param expectedMillis how long it should have taken where all engines are alike, up to a factor
 * @param weight 1 where the time was this work's alone, less where it is in part that of others
 * @param forecast what was believed when it was sent
 */
public record PaceSample(
    String engineId,
    WorkKind kind,
    String work,
    double millis,
    double expectedMillis,
    double weight,
    PaceForecast forecast) {

  boolean isUsable() {
    return millis > 0 && expectedMillis > 0 && weight > 0;
  }

  double log() {
    return Math.log(millis / expectedMillis);
  }
}
