package org.fallturn.core.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.dispatch.CacheListing;
import org.fallturn.core.dispatch.PlacedPrompt;
import org.fallturn.core.streams.StreamOrigin;

/**
 * Queues placed prompts, cache listings and origins of streams until they are sent to other nodes.
 * Bounded: the oldest entries make room, since newer ones are more relevant. One thread calls.
 */
final class PendingUpdates {

  /** Some 100 bytes each; all nodes of a fleet together place a few hundred prompts per second. */
  private static final int MAX_PROMPTS = 200;

  /** The most prompts in one message, so that the message stays within a few KB. */
  private static final int MAX_PROMPTS_PER_MESSAGE = 40;

  private static final int MAX_LISTINGS = 60;

  /** The most parts in the listings of one message, some 16 bytes each. */
  private static final int MAX_PARTS_PER_MESSAGE = 400;

  /** Twice what a relay of a large fleet receives within a second while versions are mixed. */
  private static final int MAX_ORIGINS = 8_000;

  /** Some 20 bytes each. */
  private static final int MAX_ORIGINS_PER_MESSAGE = 150;

  private final Deque<StreamOrigin> origins = new ArrayDeque<>();
  private final Deque<PlacedPrompt> prompts = new ArrayDeque<>();
  private final Deque<TimedListing> listings = new ArrayDeque<>();

  /** A listing and the time in ns at which it was valid. */
  private record TimedListing(CacheListing listing, long trueAtNanos) {}

  void addPrompts(Collection<PlacedPrompt> placed) {
    prompts.addAll(placed);
    while (prompts.size() > MAX_PROMPTS) {
      prompts.removeFirst();
    }
  }

  void addListings(Collection<CacheListing> listed, long nowNanos) {
    for (CacheListing listing : listed) {
      long age = TimeUnit.MILLISECONDS.toNanos(listing.ageMillis());
      listings.removeIf(known -> known.listing.engineId().equals(listing.engineId()));
      listings.addLast(new TimedListing(listing, nowNanos - age));
    }
    while (listings.size() > MAX_LISTINGS) {
      listings.removeFirst();
    }
  }

  void addOrigins(Collection<StreamOrigin> added) {
    origins.addAll(added);
    while (origins.size() > MAX_ORIGINS) {
      origins.removeFirst();
    }
  }

  boolean isEmpty() {
    return prompts.isEmpty() && listings.isEmpty() && origins.isEmpty();
  }

  /** Removes the oldest origins, as many as fit into one message. */
  List<StreamOrigin> takeOrigins() {
    return takeOldest(origins, MAX_ORIGINS_PER_MESSAGE);
  }

  /** Removes the oldest prompts, as many as fit into one message. */
  List<PlacedPrompt> takePrompts() {
    return takeOldest(prompts, MAX_PROMPTS_PER_MESSAGE);
  }

  private static <T> List<T> takeOldest(Deque<T> queue, int most) {
    List<T> taken = new ArrayList<>();
    while (!queue.isEmpty() && taken.size() < most) {
      taken.add(queue.removeFirst());
    }
    return taken;
  }

  /** Removes the oldest listings, as many as fit into one message; at least one, however long. */
  List<CacheListing> takeListings(long nowNanos) {
    List<CacheListing> taken = new ArrayList<>();
    int parts = 0;
    while (!listings.isEmpty()) {
      CacheListing next = listings.peekFirst().listing;
      parts += next.parts().size();
      if (!taken.isEmpty() && parts > MAX_PARTS_PER_MESSAGE) {
        return taken;
      }
      long age = nowNanos - listings.removeFirst().trueAtNanos;
      taken.add(next.aged(TimeUnit.NANOSECONDS.toMillis(age)));
    }
    return taken;
  }

  void clear() {
    prompts.clear();
    listings.clear();
    origins.clear();
  }
}
