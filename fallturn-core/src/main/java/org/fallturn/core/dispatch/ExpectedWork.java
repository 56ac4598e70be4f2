package org.fallturn.core.dispatch;

import org.fallturn.core.pace.PaceForecast;
import org.fallturn.core.pace.WorkKind;

/**
 * What the present attempt of a request should take at an engine that works as usual, to be
 * compared with what it took.
 *
 * @param kind of work
 * @param work what is compared with each other
 * @param millis the time, up to a factor that is the same for all of the work
 * @param weight what a comparison says, as a part of what work that waits for none says
 * @param forecast what was believed of its engine
 */
record ExpectedWork(
    WorkKind kind, String work, double millis, double weight, PaceForecast forecast) {}
