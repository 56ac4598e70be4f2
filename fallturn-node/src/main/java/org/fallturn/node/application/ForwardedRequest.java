package org.fallturn.node.application;

import org.eclipse.jetty.http.HttpFields;

/**
 * A caller's request in the form in which it is sent to a back end.
 *
 * @param method HTTP method
 * @param pathQuery path and query, unchanged from the caller's request
 * @param headers headers for the back end, without the caller's hop-by-hop headers and those that
 *     concern this node only, such as its API key
 * @param body the whole body; must not be modified
 */
public record ForwardedRequest(String method, String pathQuery, HttpFields headers, byte[] body) {}
