/**
 * Decides whether a node gets the rows of a replicated table from the store or from another node.
 * Decisions only, without input or output; the thread that follows the table carries them out.
 */
package org.fallturn.core.following;
