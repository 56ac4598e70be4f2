/**
 * Decides how many engines of a service run in each zone, and which of them are loaned engines at a
 * lower price. Performs no I/O itself; the ports to the store and to the platform's API are defined
 * here.
 */
package org.fallturn.core.scaling;
