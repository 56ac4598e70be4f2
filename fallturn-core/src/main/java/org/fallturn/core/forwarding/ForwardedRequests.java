package org.fallturn.core.forwarding;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.fallturn.core.domain.NetworkAddress;

/**
 * The requests that other nodes send to engines for this one, by the key that each has for its
 * attempt. The other side of {@link ForwardingLeases}.
 *
 * <p>Invariant: a request that has ended here is never confirmed again, so that the other node
 * gives it up no later than {@link ForwardingLeases#TERM} after the last confirmation. Thread-safe.
 * Times are nanoTime.
 */
public final class ForwardedRequests {

  /** The other node looks at its leases every so often, and its engine learns of it a way later. */
  private static final long MARGIN_NANOS = ForwardingLeases.CHECK.multipliedBy(2).toNanos();

  private final NetworkAddress owner;
  private final Map<String, Long> confirmedNanos = new ConcurrentHashMap<>();

  /**
   * No requests yet.
   *
   * @param owner where other nodes ask this one about its requests
   */
  public ForwardedRequests(NetworkAddress owner) {
    this.owner = owner;
  }

  /** Where other nodes ask this one about its requests. */
  public NetworkAddress owner() {
    return owner;
  }

  /** A request is about to be sent to another node, which counts as its first confirmation. */
  public void begin(String key, long nowNanos) {
    confirmedNanos.put(key, nowNanos);
  }

  /** Confirms those of the requests that still wait for an answer, and returns them. */
  public Set<String> confirm(Collection<String> keys, long nowNanos) {
    return keys.stream()
        .filter(key -> confirmedNanos.computeIfPresent(key, (known, last) -> nowNanos) != null)
        .collect(Collectors.toSet());
  }

  /**
   * Ends a request; it is not confirmed from now on.
   *
   * @return when the other node has given it up at the latest, if it keeps to its lease
   */
  public long end(String key, long nowNanos) {
    Long last = confirmedNanos.remove(key);
    return (last == null ? nowNanos : last) + ForwardingLeases.TERM.toNanos() + MARGIN_NANOS;
  }
}
