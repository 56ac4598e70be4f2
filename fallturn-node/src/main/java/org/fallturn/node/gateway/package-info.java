/**
 * The gateway: passes opaque requests of callers on to engines and their answers back. The door
 * reads a request whole, the dispatch duty decides where it runs, an attempt at an engine relays
 * the answer. What the headers of the outside parties are called is behind the ports {@link
 * org.fallturn.node.gateway.CallerProtocol} and {@link org.fallturn.node.gateway.EngineProtocol}.
 */
package org.fallturn.node.gateway;
