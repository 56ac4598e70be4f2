/** JSON by Jackson, with one set of settings for the whole system. */
package org.fallturn.node.json;
