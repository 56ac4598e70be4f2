package org.fallturn.core.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.dispatch.CacheListing;
import org.fallturn.core.dispatch.PlacedPrompt;

/**
 * Queues placed prompts and cache listings until they are sent to other nodes. Bounded: the oldest
 * entries make room, since newer ones are more relevant. One thread calls.
 */
final class PendingUpdates {

  /** Some 100 bytes each; all nodes of a fleet together place a few hundred prompts per second. */
  private static final int MAX_PROMPTS = 200;

  /** The most prompts in one message, so that the message stays within a few KB. */
  private static final int MAX_PROMPTS_PER_MESSAGE = 40;

  private static final int MAX_LISTINGS = 60;

  /** The most parts in the listings of one message, some 16 bytes each. */
  private static final int MAX_PARTS_PER_MESSAGE = 400;

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

  boolean isEmpty() {
    return prompts.isEmpty() && listings.isEmpty();
  }

  /** Removes the oldest prompts, as many as fit into one message. */
  List<PlacedPrompt> takePrompts() {
    List<PlacedPrompt> taken = new ArrayList<>();
    while (!prompts.isEmpty() && taken.size() < MAX_PROMPTS_PER_MESSAGE) {
      taken.add(prompts.removeFirst());
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
  }
}
