/** The first run of a newcomer: a whole small fleet in one process, a bounded load, a report. */
package org.fallturn.rehearsal.quickstart;
