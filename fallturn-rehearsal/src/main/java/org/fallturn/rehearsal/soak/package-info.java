/**
 * A randomized soak: gateways as processes of their own in front of the emulated platform, faults
 * drawn from a seed and injected from outside, and checks of what callers and engines saw.
 */
package org.fallturn.rehearsal.soak;
