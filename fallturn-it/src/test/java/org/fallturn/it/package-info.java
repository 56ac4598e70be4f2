/** Integration tests: real processes behind the fault-injecting proxy. */
package org.fallturn.it;
