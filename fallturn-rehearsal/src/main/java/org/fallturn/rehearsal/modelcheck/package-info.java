/**
 * Model checker: runs the core's state machines in a deterministic simulation in which one seed
 * picks lost, doubled and late messages, killed and paused processes, store faults and clocks that
 * run at different rates, and checks the invariants after each step.
 */
package org.fallturn.rehearsal.modelcheck;
