/**
 * Stand-in of a model engine: serves the engines' published protocol, batches continuously by a
 * cost model and generates deterministic tokens.
 */
package org.fallturn.rehearsal.engine;
