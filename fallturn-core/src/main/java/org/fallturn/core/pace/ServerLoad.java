package org.fallturn.core.pace;

import java.util.OptionalInt;

/**
 * Load that an engine reports in an answer. Immutable.
 *
 * @param running number of requests that it is processing
 * @param waiting number of requests in its queue
 * @param slots number of requests that it can process at once
 * @param pacePercent time that work currently takes there in percent, 100 is usual; empty when not
 *     reported
 */
public record ServerLoad(int running, int waiting, int slots, OptionalInt pacePercent) {}
