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
 * Prompts that were placed and listings that came, until they are told on. Bounded: the oldest make
 * room, since a newer one says more. One thread calls.
 */
final class News {

  /** Some 100 bytes each; all nodes of a fleet place a few hundred a second. */
  private static final int MAX_PROMPTS = 200;

  /** Prompts in one message, so that it stays within a few KB. */
  private static final int MAX_PROMPTS_A_MESSAGE = 40;

  private static final int MAX_LISTINGS = 60;

  /** Parts in the listings of one message, some 16 bytes each. */
  private static final int MAX_PARTS_A_MESSAGE = 400;

  private final Deque<PlacedPrompt> prompts = new ArrayDeque<>();
  private final Deque<TimedListing> listings = new ArrayDeque<>();

  /** A listing and when it was true. */
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

  /** The oldest, as many as one message takes. */
  List<PlacedPrompt> takePrompts() {
    List<PlacedPrompt> taken = new ArrayList<>();
    while (!prompts.isEmpty() && taken.size() < MAX_PROMPTS_A_MESSAGE) {
      taken.add(prompts.removeFirst());
    }
    return taken;
  }

  /** The oldest, as many as one message takes; at least one, however long. */
  List<CacheListing> takeListings(long nowNanos) {
    List<CacheListing> taken = new ArrayList<>();
    int parts = 0;
    while (!listings.isEmpty()) {
      CacheListing next = listings.peekFirst().listing;
      parts += next.parts().size();
      if (!taken.isEmpty() && parts > MAX_PARTS_A_MESSAGE) {
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
