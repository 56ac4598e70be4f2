/** The configuration experiment: how fast and at what cost a change comes into force everywhere. */
package org.fallturn.rehearsal.configuration;
