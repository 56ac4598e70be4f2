/** HTTP client for application back ends: load balancing and forwarding of single requests. */
package org.fallturn.node.application;
