/** What all messages among nodes share: proof of origin. */
package org.fallturn.node.peers;
