package org.fallturn.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Payloads waiting to ride along. Each is sent a bounded number of times; a newer one of the same
 * key takes the place of an older one. Urgent ones go first, then those sent least often. Not
 * thread-safe.
 */
final class BroadcastQueue {

  /** How soon a payload should leave. */
  enum Priority {
    /** A known member is in doubt, leaves, is dead or refutes it; or a pool has a new leader. */
    URGENT,
    /** A member that was not known before. */
    NORMAL,
    /** News that the next round repeats anyway. */
    PERIODIC
  }

  private static final Comparator<Entry> ORDER =
      Comparator.comparing((Entry entry) -> entry.priority)
          .thenComparing(entry -> entry.sent)
          .thenComparing(entry -> -entry.order);

  private final Map<String, Entry> entries = new HashMap<>();
  private long nextOrder;

  /** Adds a payload, in place of one with the same key. */
  void put(GossipPayload payload, Priority priority, int transmissions) {
    if (transmissions > 0) {
      entries.put(payload.key(), new Entry(payload, priority, transmissions, nextOrder++));
    }
  }

  /** Removes a payload by key. */
  void remove(String key) {
    entries.remove(key);
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  int size() {
    return entries.size();
  }

  /**
   * Takes payloads that fit, counting one transmission of each.
   *
   * @param maxBytes room for urgent payloads and all others together
   * @param maxOtherBytes room after which only urgent ones are taken
   */
  List<GossipPayload> take(long maxBytes, long maxOtherBytes, MessageSizer sizer) {
    if (entries.isEmpty() || maxBytes <= 0) {
      return List.of();
    }
    List<Entry> ordered = new ArrayList<>(entries.values());
    ordered.sort(ORDER);
    List<GossipPayload> taken = new ArrayList<>();
    long used = 0;
    for (Entry entry : ordered) {
      int bytes = entry.bytes(sizer);
      long room = entry.priority == Priority.URGENT ? maxBytes : maxOtherBytes;
      if (used + bytes <= room) {
        used += bytes;
        taken.add(entry.payload);
        countTransmission(entry);
      }
    }
    return taken;
  }

  private void countTransmission(Entry entry) {
    entry.sent++;
    if (entry.sent >= entry.transmissions) {
      entries.remove(entry.payload.key());
    }
  }

  /** A payload with what is left to do with it. */
  private static final class Entry {
    private final GossipPayload payload;
    private final Priority priority;
    private final int transmissions;
    private final long order;
    private int sent;
    private int bytes;

    Entry(GossipPayload payload, Priority priority, int transmissions, long order) {
      this.payload = payload;
      this.priority = priority;
      this.transmissions = transmissions;
      this.order = order;
    }

    int bytes(MessageSizer sizer) {
      if (bytes == 0) {
        bytes = sizer.payloadBytes(payload);
      }
      return bytes;
    }
  }
}
