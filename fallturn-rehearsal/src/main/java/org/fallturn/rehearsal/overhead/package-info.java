/** Measures what a node adds to a request: latency, processor time and memory. */
package org.fallturn.rehearsal.overhead;
