/**
 * Workloads: who sends which requests when, read from a TOML file. The simulator and the load
 * generator against real processes take their requests from the same {@link
 * org.fallturn.rehearsal.workload.ArrivalGenerator}.
 */
package org.fallturn.rehearsal.workload;
