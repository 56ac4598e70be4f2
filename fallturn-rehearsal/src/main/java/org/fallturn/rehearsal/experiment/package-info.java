/** Experiments: each is a class behind one sub-command, and they share report and plot helpers. */
package org.fallturn.rehearsal.experiment;
