/** Estimators that learn from a stream of observations. Pure; one thread calls each instance. */
package org.fallturn.core.estimate;
