/**
 * Decides how many engines of a service run in each zone, and which of them are loaned engines at a
 * lower price. Free of side effects; the ports to the store and to the platform's API are defined
 * here.
 */
package org.fallturn.core.scaling;
