/**
 * Requests that crash the engines that run them: how such a request is recognized under another id,
 * what evidence there is against it, and when it is no longer sent. Performs no I/O; only the
 * dispatch thread calls, with its own clock.
 */
package org.fallturn.core.quarantine;
