package org.fallturn.node.gateway;

import java.util.Arrays;

/**
 * The ids of the requests that were sent over one connection, as fingerprints. An id may be taken
 * for one that was sent, at odds of one in a million; one that was sent is never taken for new.
 * Thread-safe.
 */
final class SentRequestIds {

  /** Ids of one connection; they take 32 KB at most. */
  static final int MAX_IDS = 4_096;

  private static final int FIRST_SLOTS = 16;

  /** Marks a slot that holds no fingerprint. */
  private static final int FREE = 0;

  private int[] slots = new int[FIRST_SLOTS];
  private int size;

  /** Adds an id; false if it was added before, or if no further one fits. */
  synchronized boolean tryAdd(String id) {
    if (isFull()) {
      return false;
    }
    int fingerprint = fingerprint(id);
    int slot = slotOf(slots, fingerprint);
    if (slots[slot] == fingerprint) {
      return false;
    }
    slots[slot] = fingerprint;
    size++;
    growIfDense();
    return true;
  }

  /** Whether an id was added. */
  synchronized boolean contains(String id) {
    int fingerprint = fingerprint(id);
    return slots[slotOf(slots, fingerprint)] == fingerprint;
  }

  /** Whether no further id fits. */
  synchronized boolean isFull() {
    return size >= MAX_IDS;
  }

  private void growIfDense() {
    if (2 * size <= slots.length) {
      return;
    }
    int[] larger = new int[2 * slots.length];
    Arrays.stream(slots)
        .filter(fingerprint -> fingerprint != FREE)
        .forEach(fingerprint -> larger[slotOf(larger, fingerprint)] = fingerprint);
    slots = larger;
  }

  /** The slot that holds a fingerprint, or else the free one for it. */
  private static int slotOf(int[] table, int fingerprint) {
    int slot = fingerprint & (table.length - 1);
    while (table[slot] != FREE && table[slot] != fingerprint) {
      slot = (slot + 1) & (table.length - 1);
    }
    return slot;
  }

  private static int fingerprint(String id) {
    int hash = id.hashCode();
    int mixed = hash ^ (hash >>> Short.SIZE);
    return mixed == FREE ? 1 : mixed;
  }
}
