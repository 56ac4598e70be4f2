package org.fallturn.core.routing;

import java.time.Duration;
import java.util.List;

/**
 * The configuration of the requests to one host and path prefix. Immutable.
 *
 * @param name name of the route, as logs show it
 * @param host host name of the requests, in lower case and without a port
 * @param pathPrefix prefix of the request path; begins and ends with a slash
 * @param kind whether requests may run more than once
 * @param resumable whether another engine may continue a stream after the last event that was sent
 * @param timeout the longest time that a request may take in all
 * @param targetLatency the time from the arrival of a request within which its answer should begin,
 *     or be complete when an application back end answers
 * @param eventGapTarget the longest pause between two events of a stream that is still in time;
 *     zero when the route does not stream
 * @param beginPatience how long a caller waits for the beginning of its answer before it gives up;
 *     may be shorter than the timeout
 * @param priority 0 is the most urgent
 * @param maxAttempts the largest number of engines that may run one request
 * @param services the services that share the requests by weight; at least one
 * @param openToAll whether callers without a key are served even when tenants are configured
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    boolean resumable,
    Duration timeout,
    Duration targetLatency,
    Duration eventGapTarget,
    Duration beginPatience,
    int priority,
    int maxAttempts,
    List<WeightedService> services,
    boolean openToAll) {

  /** Copies the services. */
  public Route {
    services = List.copyOf(services);
  }

  /** Creates a route whose callers need a key when tenants are configured. */
  public Route(
      String name,
      String host,
      String pathPrefix,
      RequestKind kind,
      boolean resumable,
      Duration timeout,
      Duration targetLatency,
      Duration eventGapTarget,
      Duration beginPatience,
      int priority,
      int maxAttempts,
      List<WeightedService> services) {
    this(
        name,
        host,
        pathPrefix,
        kind,
        resumable,
        timeout,
        targetLatency,
        eventGapTarget,
        beginPatience,
        priority,
        maxAttempts,
        services,
        false);
  }

  /** Returns whether a request may run on a second engine although the first may have run it. */
  public boolean repeatable() {
    return kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAMING && resumable;
  }

  /** Returns whether the answer is a stream of events. */
  public boolean streaming() {
    return kind == RequestKind.STREAMING;
  }
}
