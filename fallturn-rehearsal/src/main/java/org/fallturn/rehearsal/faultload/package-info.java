/** Experiment: a checked load on real processes while seeded faults come and go. */
package org.fallturn.rehearsal.faultload;
