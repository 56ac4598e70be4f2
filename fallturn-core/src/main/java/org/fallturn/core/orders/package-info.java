/** Orders to engines: numbering, fences, what is in progress, shares of the weight store. */
package org.fallturn.core.orders;
