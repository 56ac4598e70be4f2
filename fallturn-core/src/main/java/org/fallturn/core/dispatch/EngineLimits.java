package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.fallturn.core.limits.LimitWord;
import org.fallturn.core.limits.NamedLimit;

/**
 * How many requests a second engines take from all nodes together, as they name it in their
 * answers. Kept by the id of one start of an engine, so that a later start begins without.
 *
 * <p>Thread-safe: answers are read on client threads, before they are passed on, and decisions are
 * made on the dispatch thread.
 */
public final class EngineLimits {

  private final Map<String, NamedLimit> limits = new ConcurrentHashMap<>();
  private final Queue<LimitChange> found = new ConcurrentLinkedQueue<>();

  EngineLimits() {}

  /** An answer to a request that was sent so long ago names a limit. */
  public void onNamed(String engineId, double perSecond, long sentNanos, long nowNanos) {
    NamedLimit limit = limits.computeIfAbsent(engineId, id -> new NamedLimit());
    synchronized (limit) {
      if (limit.onNamed(perSecond, sentNanos, nowNanos)) {
        found.add(new LimitChange(engineId, limit.perSecond(), NoticeSource.ANSWER));
      }
    }
  }

  /** A good answer to a request that was sent so long ago names none. */
  public void onNoneNamed(String engineId, long sentNanos) {
    NamedLimit limit = limits.get(engineId);
    if (limit == null) {
      return;
    }
    synchronized (limit) {
      if (limit.onNoneNamed(sentNanos)) {
        found.add(new LimitChange(engineId, limit.perSecond(), NoticeSource.ANSWER));
      }
    }
  }

  /** Other nodes tell what they know. */
  void onTold(String engineId, LimitWord word, long nowNanos) {
    if (!word.named() && !limits.containsKey(engineId)) {
      return;
    }
    NamedLimit limit = limits.computeIfAbsent(engineId, id -> new NamedLimit());
    synchronized (limit) {
      if (limit.onTold(word, nowNanos)) {
        found.add(new LimitChange(engineId, limit.perSecond(), NoticeSource.PEER));
      }
    }
  }

  /** What changed since the last call. */
  List<LimitChange> takeFound() {
    List<LimitChange> taken = new ArrayList<>();
    for (LimitChange next = found.poll(); next != null; next = found.poll()) {
      taken.add(next);
    }
    return taken;
  }

  /** Whether an engine has named a limit that is in force. */
  public boolean limited(String engineId) {
    NamedLimit limit = limits.get(engineId);
    if (limit == null) {
      return false;
    }
    synchronized (limit) {
      return limit.perSecond().isPresent();
    }
  }

  /** Forgets engines that are listed no more, once their entries can't merely have lapsed. */
  void retain(Set<String> listed, long nowNanos) {
    limits
        .entrySet()
        .removeIf(
            known ->
                !listed.contains(known.getKey())
                    && !known.getValue().heardWithin(EngineNotices.KEPT_UNLISTED_NANOS, nowNanos));
  }
}
