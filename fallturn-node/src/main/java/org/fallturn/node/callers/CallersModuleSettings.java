package org.fallturn.node.callers;

import java.time.Duration;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.node.settings.CallersSettings;

/**
 * Settings of the callers' door.
 *
 * @param node this node, part of every request id
 * @param zone this node's zone; its back ends are preferred
 * @param address where callers connect
 * @param maxThreads bound on the door's threads
 * @param maxConnections bound on callers' connections
 * @param maxHeaderBytes bound on a request's headers
 * @param maxBodyBytes bound on a request's body
 * @param maxOutputTokens bound on the tokens one answer may have
 * @param callerBufferBytes bytes of an answer held for a slow caller before its engine stream waits
 * @param answerBufferBytes an application's answer up to this size is sent to the caller in one
 *     piece, so that a broken one can be tried again
 * @param idleTimeout how long a caller's connection may stand still
 * @param stallTimeout longest silence of an engine stream that its reader waits for
 * @param prefillTimeout longest wait for a prefill
 * @param claimTimeout longest wait for the table service to take a claim
 * @param maxAttempts most engines or back ends tried for one request
 */
public record CallersModuleSettings(
    NodeId node,
    ZoneName zone,
    NetworkAddress address,
    int maxThreads,
    int maxConnections,
    int maxHeaderBytes,
    int maxBodyBytes,
    int maxOutputTokens,
    int callerBufferBytes,
    int answerBufferBytes,
    Duration idleTimeout,
    Duration stallTimeout,
    Duration prefillTimeout,
    Duration claimTimeout,
    int maxAttempts) {

  /** The node's settings of this door. */
  public static CallersModuleSettings of(NodeId node, ZoneName zone, CallersSettings settings) {
    return new CallersModuleSettings(
        node,
        zone,
        settings.listen(),
        settings.maxThreads(),
        settings.maxConnections(),
        settings.maxHeader().bytesAsInt(),
        settings.maxBody().bytesAsInt(),
        settings.maxOutputTokens(),
        settings.callerBuffer().bytesAsInt(),
        settings.answerBuffer().bytesAsInt(),
        settings.idleTimeout(),
        settings.stallTimeout(),
        settings.prefillTimeout(),
        settings.claimTimeout(),
        settings.maxAttempts());
  }
}
