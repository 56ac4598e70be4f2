/**
 * Decides which engines of a service do prefill and which decode, when engines change between the
 * two stages, and which node may order this. Performs no I/O itself: events in, decisions out; the
 * port to the store is defined here.
 */
package org.fallturn.core.stages;
