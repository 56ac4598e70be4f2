package org.fallturn.core.dispatch;

import org.fallturn.core.pace.PaceForecast;
import org.fallturn.core.pace.WorkKind;

/**
 * The time that an attempt should take at an engine of usual pace, to be compared with the time
 * that it takes.
 *
 * @param kind kind of work
 * @param work name of the group of attempts whose times are compared with each other
 * @param millis expected time; only its ratio to the times of the same group counts, so it may be
 *     off by a factor that is the same for the whole group
 * @param weight weight of the comparison, relative to work that does not wait for other work
 * @param forecast estimate of the engine's pace when the attempt was sent
 */
record ExpectedWork(
    WorkKind kind, String work, double millis, double weight, PaceForecast forecast) {}
