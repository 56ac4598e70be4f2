/**
 * Requests that one node sends to engines for another, and how either side knows that such a
 * request has ended.
 */
package org.fallturn.core.forwarding;
