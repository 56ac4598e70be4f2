/** Experiments on tenant limits over the fleet and on isolation between tenants. */
package org.fallturn.rehearsal.limits;
