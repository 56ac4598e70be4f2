/**
 * Requests that crash the engines that run them: how one is known again under another id, what
 * speaks against it, and when it is not sent any more. Pure; the dispatch thread alone calls, with
 * its own clock.
 */
package org.fallturn.core.quarantine;
