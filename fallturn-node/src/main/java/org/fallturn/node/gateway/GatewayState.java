package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.fallturn.core.routing.RequestLimits;
import org.fallturn.core.routing.RoutingImage;

/**
 * State shared by all threads of a gateway: the routes in force, the requests in flight, and
 * whether the node is ready or stopping. Thread-safe.
 */
final class GatewayState {

  private final CallerProtocol callerProtocol;
  private final BodyMemory bodies;
  private final Optional<Duration> keyLifetime;
  private volatile RowFollower routingFollower;
  private volatile Runnable directoryConfirmation = () -> {};
  private final AtomicReference<RoutingImage> routing = new AtomicReference<>();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final CountDownLatch readyLatch = new CountDownLatch(1);
  private volatile boolean stopping;
  private volatile OptionalLong answersEndNanos = OptionalLong.empty();
  private volatile boolean takesRequests = true;
  private volatile boolean enginesKnown;
  private volatile boolean storeLost;

  GatewayState(CallerProtocol callerProtocol, BodyMemory bodies, Optional<Duration> keyLifetime) {
    this.callerProtocol = callerProtocol;
    this.keyLifetime = keyLifetime;
    this.bodies = bodies;
  }

  CallerProtocol callerProtocol() {
    return callerProtocol;
  }

  /** The routes in force; null while none are known. */
  RoutingImage routing() {
    return routing.get();
  }

  /** The longest body that a request may have, in bytes. */
  int maxBodyBytes() {
    RoutingImage image = routing.get();
    return (image == null ? RequestLimits.defaults() : image.limits()).maxBodyBytes();
  }

  /**
   * Sets the follower of the table of routes.
   *
   * @param confirmation requests that the table of engines is confirmed
   */
  void setFollower(RowFollower ofRoutes, Runnable confirmation) {
    routingFollower = ofRoutes;
    directoryConfirmation = confirmation;
  }

  /** Requests that the store confirms the list of engines by a reading that begins from now on. */
  void confirmDirectory() {
    directoryConfirmation.run();
  }

  /** Whether other nodes know newer routes and keys than those in force on this node. */
  boolean routingIsBehind() {
    RowFollower follower = routingFollower;
    return follower != null && follower.knowsOfNewerChange();
  }

  /**
   * Whether tenant keys may be accepted. With a key lifetime set, keys fail closed: they are not
   * accepted when the configuration was last confirmed as the newest longer ago than that, since a
   * key may have been revoked in the meantime.
   */
  boolean keysAreTrusted(long nowNanos) {
    RowFollower follower = routingFollower;
    return keyLifetime.isEmpty()
        || follower == null
        || follower.stalenessNanos(nowNanos) < keyLifetime.get().toNanos();
  }

  /** Puts an image in force if it is newer than the current one; returns whether it was. */
  boolean offerRouting(RoutingImage image) {
    RoutingImage before =
        routing.getAndUpdate(
            current -> current == null || image.isNewerThan(current) ? image : current);
    countDownWhenReady();
    return before == null || image.isNewerThan(before);
  }

  void setEnginesKnown() {
    enginesKnown = true;
    countDownWhenReady();
  }

  private void countDownWhenReady() {
    if (enginesKnown && routing.get() != null) {
      readyLatch.countDown();
    }
  }

  /** Waits until routes and engines are known, at most for the timeout. */
  void awaitReady(Duration timeout) throws InterruptedException {
    readyLatch.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Whether the store failed to answer the last call to it. */
  boolean storeLost() {
    return storeLost;
  }

  void setStoreLost(boolean lost) {
    storeLost = lost;
  }

  /** Whether the platform should send callers to this node. */
  boolean ready() {
    return !stopping && enginesKnown && routing.get() != null;
  }

  boolean stopping() {
    return stopping;
  }

  /** Whether new requests are still accepted. */
  boolean takesRequests() {
    return takesRequests;
  }

  /** Refuses new requests from now on, as not run. */
  void refuseRequests() {
    takesRequests = false;
  }

  /** Begins a stop whose end is not known yet; allocates nothing. */
  void beginStop() {
    stopping = true;
  }

  /**
   * Begins a planned stop.
   *
   * @param endNanos when requests without an answer get their last one, in nanoTime
   */
  void beginStop(long endNanos) {
    answersEndNanos = OptionalLong.of(endNanos);
    stopping = true;
  }

  /** Time in ns in which this process can still answer; {@code Long.MAX_VALUE} for any time. */
  long remainingNanos(long nowNanos) {
    OptionalLong end = answersEndNanos;
    return end.isEmpty() ? Long.MAX_VALUE : end.getAsLong() - nowNanos;
  }

  /** Counts a request as in flight, from its head until {@link #endRequest}. */
  void beginRequest() {
    inFlight.incrementAndGet();
  }

  /** Ends a request: the last byte of its answer has been written, or never will be. */
  void endRequest() {
    inFlight.decrementAndGet();
  }

  /** The memory for the bodies of requests. */
  BodyMemory bodies() {
    return bodies;
  }

  /** Number of requests that are being read, served or answered. */
  int inFlight() {
    return inFlight.get();
  }
}
