/**
 * A proxy that stands between any two processes, over TCP or UDP, and injects faults: delay, loss,
 * duplication, reordering, refusal, silence in one or both directions, and resets.
 */
package org.fallturn.rehearsal.faults;
