/**
 * Where each opaque request runs and what follows when an attempt fails: the envelope that is
 * decided on, load and health of engines as this node knows them, the retry budget, and the state
 * machine over one request's attempts. Pure: one thread calls, time is passed in as nanoseconds of
 * a steady clock.
 */
package org.fallturn.core.dispatch;
