/**
 * What a tenant may use while room is short. Pure: time and what is asked and sent are passed in.
 */
package org.fallturn.core.shares;
