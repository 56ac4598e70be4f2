package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;

/**
 * The addresses of the other nodes: a few seeds from the settings, and whom they and their peers
 * have heard. Only addresses heard directly are told on, so that one that is gone fades from every
 * book. One thread at a time calls.
 */
public final class PeerBook {

  private static final long TELL_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final long COUNT_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final NetworkAddress self;
  private final List<NetworkAddress> seeds;
  private final Map<NetworkAddress, Long> heardAt = new HashMap<>();
  private final Map<NetworkAddress, Long> toldAt = new HashMap<>();
  private int turn;
  private int toldCount;
  private long toldCountAtNanos;

  /** A book that knows only the seeds. */
  public PeerBook(NetworkAddress self, Collection<NetworkAddress> seeds) {
    this.self = self;
    this.seeds = seeds.stream().filter(seed -> !seed.equals(self)).distinct().toList();
  }

  /**
   * A peer spoke.
   *
   * @param from its address
   * @param told whom it has heard
   */
  public synchronized void onHeard(
      NetworkAddress from, Collection<NetworkAddress> told, long nowNanos) {
    heardAt.put(from, nowNanos);
    for (NetworkAddress peer : told) {
      if (!peer.equals(self)) {
        toldAt.put(peer, nowNanos);
      }
    }
  }

  /** Peers heard lately, to be told on. */
  public synchronized List<NetworkAddress> heardLately(long nowNanos) {
    return heardAt.entrySet().stream()
        .filter(entry -> nowNanos - entry.getValue() < TELL_NANOS)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Nodes of the last minute, this one included, as far as this node or those that it heard know: a
   * cautious count for what is divided by it. Empty while there are other nodes and none was heard.
   */
  public synchronized OptionalInt cautiousNodeCount(long nowNanos) {
    heardAt.values().removeIf(at -> nowNanos - at >= COUNT_NANOS);
    if (heardAt.isEmpty()) {
      return seeds.isEmpty() ? OptionalInt.of(1) : OptionalInt.empty();
    }
    int known = 1 + Math.max(heardAt.size(), seeds.size());
    boolean countHolds = nowNanos - toldCountAtNanos < COUNT_NANOS;
    return OptionalInt.of(countHolds ? Math.max(known, toldCount) : known);
  }

  /** A peer said how many nodes it has heard itself, with it. */
  public synchronized void onCountTold(int count, long nowNanos) {
    if (count >= toldCount || nowNanos - toldCountAtNanos >= COUNT_NANOS) {
      toldCount = count;
      toldCountAtNanos = nowNanos;
    }
  }

  /** Nodes that this node has heard itself within the last minute, with it. */
  public synchronized int heardCount(long nowNanos) {
    heardAt.values().removeIf(at -> nowNanos - at >= COUNT_NANOS);
    return 1 + heardAt.size();
  }

  /** How many peers there are to speak to. */
  public synchronized int reachableCount(long nowNanos) {
    return reachable(nowNanos).size();
  }

  /** The next peers to speak to: all of them when they are few, else in turn. */
  public synchronized List<NetworkAddress> nextTargets(int most, long nowNanos) {
    List<NetworkAddress> all = reachable(nowNanos);
    if (all.size() <= most) {
      return all;
    }
    List<NetworkAddress> chosen = new ArrayList<>(most);
    for (int index = 0; index < most; index++) {
      chosen.add(all.get(Math.floorMod(turn++, all.size())));
    }
    return chosen;
  }

  private List<NetworkAddress> reachable(long nowNanos) {
    toldAt.values().removeIf(at -> nowNanos - at >= FORGET_NANOS);
    List<NetworkAddress> all = new ArrayList<>(seeds);
    addNew(all, toldAt.keySet());
    heardAt.forEach(
        (peer, at) -> {
          if (nowNanos - at < FORGET_NANOS && !all.contains(peer)) {
            all.add(peer);
          }
        });
    all.sort(null);
    return all;
  }

  private static void addNew(List<NetworkAddress> all, Collection<NetworkAddress> more) {
    for (NetworkAddress peer : more) {
      if (!all.contains(peer)) {
        all.add(peer);
      }
    }
  }
}
