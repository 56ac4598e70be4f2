/**
 * How many engines of a service run in each zone, and which of them are on loan at a lower price.
 * Pure; the ports to the store and the platform's API are here.
 */
package org.fallturn.core.scaling;
