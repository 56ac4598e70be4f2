/**
 * Chooses an engine for each request and decides what follows when an attempt fails: the facts
 * about a request that decisions are based on, the load and health of engines as this node knows
 * them, the retry budget, and the state machine over the attempts of one request. The code does no
 * I/O and reads no clock: one thread calls it, and passes the time as nanoseconds of a monotonic
 * clock.
 */
package org.fallturn.core.dispatch;
