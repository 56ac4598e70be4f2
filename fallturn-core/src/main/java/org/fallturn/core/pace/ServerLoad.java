package org.fallturn.core.pace;

import java.util.OptionalInt;

/**
 * What an engine says of its load in an answer. Immutable.
 *
 * @param running requests that it works on
 * @param waiting requests that wait there
 * @param slots requests that it works on at once
 * @param pacePercent how long work takes there now, 100 as usual; empty where it does not say so
 */
public record ServerLoad(int running, int waiting, int slots, OptionalInt pacePercent) {}
