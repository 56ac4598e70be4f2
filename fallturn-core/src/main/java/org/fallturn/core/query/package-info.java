/** The operators' language: what a statement reads and changes. */
package org.fallturn.core.query;
