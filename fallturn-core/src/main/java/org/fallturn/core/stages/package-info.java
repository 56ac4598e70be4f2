/**
 * Which engines of a service read prompts and which decode, when engines change between the two,
 * and who may order it. Pure: events in, decisions out; nothing here calls a network.
 */
package org.fallturn.core.stages;
