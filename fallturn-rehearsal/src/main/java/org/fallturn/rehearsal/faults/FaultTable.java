package org.fallturn.rehearsal.faults;

import java.util.HashMap;
import java.util.Map;

/**
 * Which faults each link has, for all sources or for one source host; the entry of the source goes
 * first. Threads that hold traffic wait here for a change. Thread-safe.
 */
final class FaultTable {

  private static final String EVERY_SOURCE = "*";

  private final Map<Key, LinkFaults> faults = new HashMap<>();

  private record Key(String link, String sourceHost) {}

  synchronized LinkFaults of(String link, String sourceHost) {
    LinkFaults own = faults.get(new Key(link, sourceHost));
    return own != null ? own : faults.getOrDefault(new Key(link, EVERY_SOURCE), LinkFaults.NONE);
  }

  synchronized void set(String link, LinkFaults next) {
    put(new Key(link, EVERY_SOURCE), next);
  }

  synchronized void set(String link, String sourceHost, LinkFaults next) {
    put(new Key(link, sourceHost), next);
  }

  private void put(Key key, LinkFaults next) {
    if (next.equals(LinkFaults.NONE)) {
      faults.remove(key);
    } else {
      faults.put(key, next);
    }
    notifyAll();
  }

  synchronized void heal() {
    faults.clear();
    notifyAll();
  }

  /** Waits until something may have changed; bounded, so that a closed link is noticed. */
  synchronized void awaitChange(long millis) throws InterruptedException {
    wait(millis);
  }
}
