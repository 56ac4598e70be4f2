/** Gossip membership: who is alive, as one node sees it. */
package org.fallturn.core.membership;
