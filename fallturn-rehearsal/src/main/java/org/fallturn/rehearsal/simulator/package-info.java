/**
 * Discrete-event simulator of a fleet. It drives the very scheduler and role policies that a node
 * runs, against engines that follow the cost model of the engine stand-in.
 */
package org.fallturn.rehearsal.simulator;
