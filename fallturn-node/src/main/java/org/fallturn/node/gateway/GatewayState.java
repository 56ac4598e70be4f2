package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.fallturn.core.routing.RoutingImage;

/**
 * What all threads of a gateway share: the routes in force, how much is in flight, and whether it
 * is stopping. Thread-safe.
 */
final class GatewayState {

  private final CallerProtocol callerProtocol;
  private final long maxBodyBytesInFlight;
  private final Optional<Duration> keyLifetime;
  private volatile RowFollower routingFollower;
  private final AtomicReference<RoutingImage> routing = new AtomicReference<>();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicLong bodyBytes = new AtomicLong();
  private final CountDownLatch known = new CountDownLatch(1);
  private volatile boolean stopping;
  private volatile boolean takesRequests = true;
  private volatile boolean enginesKnown;
  private volatile boolean storeLost;

  GatewayState(
      CallerProtocol callerProtocol, long maxBodyBytesInFlight, Optional<Duration> keyLifetime) {
    this.callerProtocol = callerProtocol;
    this.keyLifetime = keyLifetime;
    this.maxBodyBytesInFlight = maxBodyBytesInFlight;
  }

  CallerProtocol callerProtocol() {
    return callerProtocol;
  }

  /** The routes in force; null before any is known. */
  RoutingImage routing() {
    return routing.get();
  }

  /** Takes whoever follows the routes. */
  void setRouting(RowFollower follower) {
    routingFollower = follower;
  }

  /** Whether other nodes know newer routes and keys than those in force here. */
  boolean routingIsBehind() {
    RowFollower follower = routingFollower;
    return follower != null && follower.knowsOfNewerChange();
  }

  /**
   * Whether keys are to be believed: where they fail closed, not when it is too long ago that
   * nothing newer was known to be there, since a key may have been taken away since.
   */
  boolean keysAreTrusted(long nowNanos) {
    RowFollower follower = routingFollower;
    return keyLifetime.isEmpty()
        || follower == null
        || follower.stalenessNanos(nowNanos) < keyLifetime.get().toNanos();
  }

  /** Takes an image if it is newer than the one in force. */
  boolean offerRouting(RoutingImage image) {
    RoutingImage before =
        routing.getAndUpdate(
            present -> present == null || image.isNewerThan(present) ? image : present);
    openWhenKnown();
    return before == null || image.isNewerThan(before);
  }

  void setEnginesKnown() {
    enginesKnown = true;
    openWhenKnown();
  }

  private void openWhenKnown() {
    if (enginesKnown && routing.get() != null) {
      known.countDown();
    }
  }

  /** Waits until routes and engines are known, or as long as said. */
  void awaitReady(Duration longest) throws InterruptedException {
    known.await(longest.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Whether the store did not answer when it was last asked. */
  boolean storeLost() {
    return storeLost;
  }

  void setStoreLost(boolean lost) {
    storeLost = lost;
  }

  /** Whether callers should be sent here. */
  boolean ready() {
    return !stopping && enginesKnown && routing.get() != null;
  }

  boolean stopping() {
    return stopping;
  }

  /** Whether new requests are still taken. */
  boolean takesRequests() {
    return takesRequests;
  }

  /** From now on new requests are refused as not run. */
  void refuseRequests() {
    takesRequests = false;
  }

  void beginStop() {
    stopping = true;
  }

  /** Counts a request in; false when the bodies in flight already fill their bound. */
  boolean tryBegin(int length) {
    if (bodyBytes.addAndGet(length) > maxBodyBytesInFlight) {
      bodyBytes.addAndGet(-length);
      return false;
    }
    inFlight.incrementAndGet();
    return true;
  }

  void onCompleted(int length) {
    bodyBytes.addAndGet(-length);
    inFlight.decrementAndGet();
  }

  int inFlight() {
    return inFlight.get();
  }
}
