/**
 * Whom a node asks for the rows of a table that all nodes follow: the store, or another node. Pure
 * decisions; the follower of a table carries them out.
 */
package org.fallturn.core.following;
