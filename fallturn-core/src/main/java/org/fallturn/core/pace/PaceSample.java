package org.fallturn.core.pace;

/**
 * Time that one finished piece of work took at an engine.
 *
 * @param engineId id of one incarnation of an engine
 * @param kind kind of work that the sample is for
 * @param work key of comparable work: the same work of one service
 * @param millis measured time in ms
 * @param expectedMillis time in ms that the work should take if all engines were alike, up to a
 *     constant factor
 * @param weight 1 when the time was spent on this work alone, less when part of it was spent on
 *     other work
 * @param forecast forecast at the time the work was sent
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
