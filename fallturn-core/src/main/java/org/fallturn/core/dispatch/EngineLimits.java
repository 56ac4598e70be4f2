package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import org.fallturn.core.limits.AnnouncedLimit;
import org.fallturn.core.limits.AnnouncedLimitDigest;
import org.fallturn.core.limits.LimitDigest;
import org.fallturn.core.limits.RateDigest;
import org.fallturn.core.limits.SharedRate;
import org.fallturn.core.membership.RendezvousHash;

/**
 * Rate limits in requests per second that engines announce in their answers, and this node's share
 * of each. A limit holds for all nodes together. Limits are kept by engine incarnation, so that a
 * restarted engine begins without one.
 *
 * <p>Invariant: the request of a caller is sent to an engine that announces a limit only with a
 * permit, which is taken when the sending begins. Calls that this node makes itself need no permit
 * and only take room in the window of sent requests.
 *
 * <p>Thread-safe: client threads read answers and begin to send, and the dispatch thread decides.
 */
public final class EngineLimits {

  private final String node;
  private final Map<String, Limited> engines = new ConcurrentHashMap<>();
  private final Queue<LimitChange> pending = new ConcurrentLinkedQueue<>();

  /** The limit of one engine. Its own lock guards all access. */
  private static final class Limited {
    private final AnnouncedLimit limit = new AnnouncedLimit();
    private SharedRate rate;

    boolean inForce() {
      return limit.perSecond().isPresent();
    }
  }

  /**
   * Creates an instance that knows no limit.
   *
   * @param node name of this node; it seeds the random numbers that keep nodes from sending at the
   *     same time
   */
  EngineLimits(String node) {
    this.node = node;
  }

  /**
   * Records that an answer announces a limit.
   *
   * @param perSecond the limit in requests per second, for all nodes together
   * @param sentNanos time at which the request was sent
   */
  public void onLimitAnnounced(String engineId, double perSecond, long sentNanos, long nowNanos) {
    Limited engine = engines.computeIfAbsent(engineId, id -> new Limited());
    synchronized (engine) {
      boolean changed = engine.limit.onLimitAnnounced(perSecond, sentNanos, nowNanos);
      recordChange(engineId, engine, changed, NoticeSource.ANSWER);
    }
  }

  /**
   * Records that a complete and successful answer announces no limit.
   *
   * @param sentNanos time at which the request was sent
   */
  public void onNoLimitAnnounced(String engineId, long sentNanos) {
    Limited engine = engines.get(engineId);
    if (engine == null) {
      return;
    }
    synchronized (engine) {
      boolean changed = engine.limit.onNoLimitAnnounced(sentNanos);
      recordChange(engineId, engine, changed, NoticeSource.ANSWER);
    }
  }

  /** Takes what another node reports about the limit of an engine. */
  void onPeerReport(String engineId, AnnouncedLimitDigest digest, long nowNanos) {
    if (!digest.announced() && !engines.containsKey(engineId)) {
      return;
    }
    Limited engine = engines.computeIfAbsent(engineId, id -> new Limited());
    synchronized (engine) {
      boolean changed = engine.limit.onPeerReport(digest, nowNanos);
      recordChange(engineId, engine, changed, NoticeSource.PEER);
    }
  }

  private void recordChange(String engineId, Limited engine, boolean changed, NoticeSource source) {
    if (!changed) {
      return;
    }
    if (engine.rate == null) {
      engine.rate = new SharedRate(new SplittableRandom(RendezvousHash.weight(engineId, node)));
    }
    engine.limit.perSecond().ifPresent(engine.rate::setPerSecond);
    pending.add(new LimitChange(engineId, engine.limit.perSecond(), source));
  }

  /** Removes and returns the changes since the last call. */
  List<LimitChange> takePending() {
    List<LimitChange> taken = new ArrayList<>();
    for (LimitChange next = pending.poll(); next != null; next = pending.poll()) {
      taken.add(next);
    }
    return taken;
  }

  /** Returns the ids of the engines that have announced a limit, even if it has ended since. */
  Set<String> known() {
    return Set.copyOf(engines.keySet());
  }

  /** Returns whether a limit of the engine is in force. */
  public boolean limited(String engineId) {
    return inForce(engineId, engine -> true, false);
  }

  /** Returns the sum of all limits in force, in requests per second. */
  public double perSecond() {
    return engines.keySet().stream()
        .mapToDouble(id -> inForce(id, engine -> engine.limit.perSecond().getAsDouble(), 0.0))
        .sum();
  }

  /**
   * Returns how many requests this node has sent within the window to engines whose limits are in
   * force.
   */
  public int sent(long nowNanos) {
    return engines.keySet().stream()
        .mapToInt(id -> inForce(id, engine -> engine.rate.sent(nowNanos), 0))
        .sum();
  }

  /**
   * Takes the shares that the other nodes report.
   *
   * @param others the sum of the other nodes' reports, by engine id
   * @param nodes number of nodes that there may be, this one included; empty if not known
   */
  void setOthers(Function<String, RateDigest> others, OptionalInt nodes) {
    engines.forEach(
        (id, engine) -> {
          RateDigest reported = others.apply(id);
          synchronized (engine) {
            if (engine.rate != null) {
              engine.rate.setOthers(reported, nodes);
            }
          }
        });
  }

  /** Records that a request could be sent to the engine, which counts as demand. */
  void onAsked(String engineId, long nowNanos) {
    inForce(
        engineId,
        engine -> {
          engine.rate.onAsked(nowNanos);
          return true;
        },
        false);
  }

  /** Returns whether the limit of the engine, if any, permits a request now. */
  boolean takesRequests(String engineId, long nowNanos) {
    return inForce(engineId, engine -> engine.rate.mayTake(nowNanos), true);
  }

  /**
   * Takes a permit for a caller's request whose sending begins now. Returns false if the limit of
   * the engine leaves no room for it.
   */
  public boolean tryTake(String engineId, long nowNanos) {
    return inForce(engineId, engine -> engine.rate.tryTake(nowNanos), true);
  }

  /**
   * Records that this node begins to send a call of its own, which the engine counts like any other
   * request.
   */
  public void onSent(String engineId, long nowNanos) {
    inForce(
        engineId,
        engine -> {
          engine.rate.onSent(nowNanos);
          return true;
        },
        false);
  }

  /** Returns the approximate time until the limit of the engine permits a request. */
  Duration untilNext(String engineId, long nowNanos) {
    return inForce(engineId, engine -> engine.rate.untilNext(nowNanos), Duration.ZERO);
  }

  /** Returns what this node reports to the others about the limit of an engine. */
  LimitDigest digest(String engineId, long nowNanos) {
    Limited engine = engines.get(engineId);
    if (engine == null) {
      return LimitDigest.NONE;
    }
    synchronized (engine) {
      RateDigest rate = engine.inForce() ? engine.rate.digest(nowNanos) : RateDigest.NONE;
      return new LimitDigest(rate, engine.limit.digest(nowNanos));
    }
  }

  private <T> T inForce(String engineId, Function<Limited, T> ifInForce, T otherwise) {
    Limited engine = engines.get(engineId);
    if (engine == null) {
      return otherwise;
    }
    synchronized (engine) {
      return engine.inForce() ? ifInForce.apply(engine) : otherwise;
    }
  }

  /**
   * Forgets the engines that are no longer listed, once their directory entries cannot merely have
   * expired.
   */
  void retain(Set<String> listed, long nowNanos) {
    engines
        .entrySet()
        .removeIf(
            known -> !listed.contains(known.getKey()) && isOutdated(known.getValue(), nowNanos));
  }

  private static boolean isOutdated(Limited engine, long nowNanos) {
    synchronized (engine) {
      return !engine.limit.heardWithin(EngineNotices.KEPT_UNLISTED_NANOS, nowNanos);
    }
  }
}
