/**
 * Usage accounting: the number of requests of each tenant that began to run in each time window,
 * counted by all nodes and reported once by one of them. The code does no I/O; this package also
 * has the ports to the store and to the platform's API.
 */
package org.fallturn.core.usage;
