package org.fallturn.rehearsal.application;

/**
 * How the application behaves from now on, {@code POST /control/behaviour}.
 *
 * @param delayMillis time each execution takes
 * @param leaving whether it refuses new work with 503, unexecuted
 * @param cutBeforeExecution so many next requests lose their connection and are not executed
 * @param cutAfterExecution so many next requests are executed and lose their answer
 * @param cutMidAnswer so many next requests are executed and get half an answer
 */
public record ApplicationControl(
    long delayMillis,
    boolean leaving,
    int cutBeforeExecution,
    int cutAfterExecution,
    int cutMidAnswer) {}
