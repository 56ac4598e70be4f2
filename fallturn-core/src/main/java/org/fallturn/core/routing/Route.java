package org.fallturn.core.routing;

import java.time.Duration;
import java.util.List;

/**
 * What an operator says of the requests of one host and path prefix. Immutable.
 *
 * @param name name of the route, for logs
 * @param host host the request names, in lower case and without a port
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be done again
 * @param resumable whether another engine may go on with a stream after its last event
 * @param timeout the longest a request is held
 * @param targetLatency the time within which an answer is worth most
 * @param eventGapTarget longest pause between events that is still in time; zero when not a stream
 * @param beginPatience how long a caller waits for the beginning of its answer; it may be less than
 *     the time it has for the whole
 * @param priority 0 is the most urgent
 * @param maxAttempts the most engines that may run one request
 * @param services where the requests go, by weight; at least one
 * @param openToAll whether callers without a key are served where tenants are configured
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

  /** A private copy of the services. */
  public Route {
    services = List.copyOf(services);
  }

  /** A route whose callers need a key where tenants are configured. */
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

  /** Whether the same request may run on a second engine after the first may have run it. */
  public boolean repeatable() {
    return kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAMING && resumable;
  }

  /** Whether the answer is a series of events. */
  public boolean streaming() {
    return kind == RequestKind.STREAMING;
  }
}
