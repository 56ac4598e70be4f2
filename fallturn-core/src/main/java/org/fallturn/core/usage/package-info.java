/**
 * How many requests of each tenant began to run in each window of time, counted by all nodes and
 * reported once by one of them. Pure; the ports to the store and the platform's API are here.
 */
package org.fallturn.core.usage;
