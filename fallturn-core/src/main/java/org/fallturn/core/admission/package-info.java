/** Tenant limits and their shares across the fleet. */
package org.fallturn.core.admission;
