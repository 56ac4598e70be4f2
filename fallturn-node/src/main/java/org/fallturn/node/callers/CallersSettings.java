package org.fallturn.node.callers;

import java.time.Duration;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.ZoneName;

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
 * @param stallTimeout longest silence of an engine stream that its reader waits for
 * @param prefillTimeout longest wait for a prefill
 * @param claimTimeout longest wait for the table service to take a claim
 * @param maxAttempts most engines or back ends tried for one request
 */
public record CallersSettings(
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
    Duration stallTimeout,
    Duration prefillTimeout,
    Duration claimTimeout,
    int maxAttempts) {

  private static final int DEFAULT_THREADS = 32;
  private static final int DEFAULT_CONNECTIONS = 4_000;
  private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
  private static final int DEFAULT_BODY_BYTES = 2 * 1024 * 1024;
  private static final int DEFAULT_OUTPUT_TOKENS = 16_384;
  private static final int DEFAULT_CALLER_BUFFER_BYTES = 64 * 1024;
  private static final int DEFAULT_ANSWER_BUFFER_BYTES = 256 * 1024;
  private static final Duration DEFAULT_STALL_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration DEFAULT_PREFILL_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration DEFAULT_CLAIM_TIMEOUT = Duration.ofSeconds(2);
  private static final int DEFAULT_ATTEMPTS = 4;

  /** The defaults for a node. */
  public static CallersSettings defaults(NodeId node, ZoneName zone, NetworkAddress address) {
    return new CallersSettings(
        node,
        zone,
        address,
        DEFAULT_THREADS,
        DEFAULT_CONNECTIONS,
        DEFAULT_HEADER_BYTES,
        DEFAULT_BODY_BYTES,
        DEFAULT_OUTPUT_TOKENS,
        DEFAULT_CALLER_BUFFER_BYTES,
        DEFAULT_ANSWER_BUFFER_BYTES,
        DEFAULT_STALL_TIMEOUT,
        DEFAULT_PREFILL_TIMEOUT,
        DEFAULT_CLAIM_TIMEOUT,
        DEFAULT_ATTEMPTS);
  }

  /** The same with another bound on silence. */
  public CallersSettings withStallTimeout(Duration timeout) {
    return new CallersSettings(
        node,
        zone,
        address,
        maxThreads,
        maxConnections,
        maxHeaderBytes,
        maxBodyBytes,
        maxOutputTokens,
        callerBufferBytes,
        answerBufferBytes,
        timeout,
        prefillTimeout,
        claimTimeout,
        maxAttempts);
  }
}
