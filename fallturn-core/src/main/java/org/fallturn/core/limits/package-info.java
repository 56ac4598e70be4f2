/**
 * Rates that hold over the whole fleet: what limit is in force, and which part of it a node may
 * use. Pure: time, randomness and what other nodes say are passed in.
 */
package org.fallturn.core.limits;
