/**
 * Rate limits and budgets that hold over the whole fleet: which limit is in force, and which part
 * of it a node may use. Performs no I/O: the caller passes in time, randomness and the digests of
 * other nodes.
 */
package org.fallturn.core.limits;
