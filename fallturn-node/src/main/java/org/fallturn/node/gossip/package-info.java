/** Gossip over UDP: the socket, the datagrams' authentication and the duty that runs membership. */
package org.fallturn.node.gossip;
