/** Many hollow nodes in few processes: what control costs a node as the fleet grows. */
package org.fallturn.rehearsal.scale;
