package org.fallturn.node.peers;

import java.util.HashSet;
import java.util.Set;

/**
 * Remembers nonces for at least twice the given age and forgets them soon after, in three
 * generations. Memory is bounded by the rate of messages that carry a valid proof. Thread-safe.
 */
final class NonceMemory {

  private final long generationMillis;
  private Set<Long> current = new HashSet<>();
  private Set<Long> previous = new HashSet<>();
  private Set<Long> oldest = new HashSet<>();
  private long currentSinceMillis = Long.MIN_VALUE;

  NonceMemory(long maxAgeMillis) {
    this.generationMillis = maxAgeMillis;
  }

  synchronized boolean addIfNew(long nonce, long nowMillis) {
    turnGenerations(nowMillis);
    if (previous.contains(nonce) || oldest.contains(nonce)) {
      return false;
    }
    return current.add(nonce);
  }

  private void turnGenerations(long nowMillis) {
    if (currentSinceMillis == Long.MIN_VALUE) {
      currentSinceMillis = nowMillis;
    }
    if (nowMillis - currentSinceMillis < generationMillis) {
      return;
    }
    oldest = previous;
    previous = current;
    current = new HashSet<>();
    currentSinceMillis = nowMillis;
  }
}
