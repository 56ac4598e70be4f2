/**
 * What nodes tell each other, and through whom: a few strong nodes of each zone relay what all have
 * at the engines, so that messages and bytes a node hardly depend on how many nodes there are. No
 * election: each node ranks those that it knows, and two that rank differently do no harm. Pure:
 * one thread calls, time is passed in as nanoseconds of a steady clock.
 */
package org.fallturn.core.peers;
