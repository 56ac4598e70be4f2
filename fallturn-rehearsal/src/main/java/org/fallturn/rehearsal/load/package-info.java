/**
 * Load generator: calls nodes as callers do, at a rate that does not depend on the answers, and
 * checks every byte that comes back.
 */
package org.fallturn.rehearsal.load;
