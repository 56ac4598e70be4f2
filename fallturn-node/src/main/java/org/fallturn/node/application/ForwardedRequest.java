package org.fallturn.node.application;

import org.eclipse.jetty.http.HttpFields;

/**
 * A request as it goes to a back end.
 *
 * @param method HTTP method
 * @param pathQuery path and query, as the caller gave them
 * @param headers headers for the back end, without those of the caller's connection
 * @param body the whole body; never modified
 */
public record ForwardedRequest(String method, String pathQuery, HttpFields headers, byte[] body) {}
