/** Orders to engines: numbering, fences, orders in progress, and the shares of the weight store. */
package org.fallturn.core.orders;
