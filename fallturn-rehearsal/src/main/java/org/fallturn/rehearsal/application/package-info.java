/** Stand-in of an application back end that counts the executions of each business key. */
package org.fallturn.rehearsal.application;
