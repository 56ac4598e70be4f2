/**
 * The gateway: a reverse proxy that forwards opaque requests of callers to engines and relays the
 * answers. {@link org.fallturn.node.gateway.CallerRequestHandler} reads a whole request, {@link
 * org.fallturn.node.gateway.DispatchDuty} decides which engine runs it, and an {@link
 * org.fallturn.node.gateway.EngineAttempt} sends it and relays the answer. The ports {@link
 * org.fallturn.node.gateway.CallerProtocol} and {@link org.fallturn.node.gateway.EngineProtocol}
 * hide the header names of callers and engines.
 */
package org.fallturn.node.gateway;
