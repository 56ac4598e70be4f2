/**
 * Decides which engines of a service do prefill and which decode, when engines change between the
 * two stages, and which node may order this. Free of side effects: events in, decisions out; no
 * network calls.
 */
package org.fallturn.core.stages;
