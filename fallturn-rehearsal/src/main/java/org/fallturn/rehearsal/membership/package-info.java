/** The membership experiment: how fast news spreads among members that share one process. */
package org.fallturn.rehearsal.membership;
