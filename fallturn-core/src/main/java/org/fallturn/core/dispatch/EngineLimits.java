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
 * How many requests a second engines take from all nodes together, as they name it in their
 * answers, and what of it this node may send. Kept by the id of one start of an engine, so that a
 * later start begins without.
 *
 * <p>Invariant: a request of a caller is sent to an engine that names a limit only with a permit,
 * taken when its sending begins; calls of this node's own need none, and take room in the window
 * only. Thread-safe: answers are read and sends begin on client threads, decisions are made on the
 * dispatch thread.
 */
public final class EngineLimits {

  private final String node;
  private final Map<String, Limited> engines = new ConcurrentHashMap<>();
  private final Queue<LimitChange> found = new ConcurrentLinkedQueue<>();

  /** The limit of one engine; whoever uses it holds its lock. */
  private static final class Limited {
    private final AnnouncedLimit limit = new AnnouncedLimit();
    private SharedRate rate;

    boolean inForce() {
      return limit.perSecond().isPresent();
    }
  }

  /**
   * No limit is known.
   *
   * @param node name of this node, by which its part differs in time from that of the others
   */
  EngineLimits(String node) {
    this.node = node;
  }

  /** An answer to a request that was sent at a moment names a limit. */
  public void onLimitAnnounced(String engineId, double perSecond, long sentNanos, long nowNanos) {
    Limited engine = engines.computeIfAbsent(engineId, id -> new Limited());
    synchronized (engine) {
      boolean changed = engine.limit.onLimitAnnounced(perSecond, sentNanos, nowNanos);
      takeChange(engineId, engine, changed, NoticeSource.ANSWER);
    }
  }

  /** A good and whole answer to a request that was sent at a moment names none. */
  public void onNoLimitAnnounced(String engineId, long sentNanos) {
    Limited engine = engines.get(engineId);
    if (engine == null) {
      return;
    }
    synchronized (engine) {
      boolean changed = engine.limit.onNoLimitAnnounced(sentNanos);
      takeChange(engineId, engine, changed, NoticeSource.ANSWER);
    }
  }

  /** Other nodes tell what they know. */
  void onPeerReport(String engineId, AnnouncedLimitDigest digest, long nowNanos) {
    if (!digest.announced() && !engines.containsKey(engineId)) {
      return;
    }
    Limited engine = engines.computeIfAbsent(engineId, id -> new Limited());
    synchronized (engine) {
      boolean changed = engine.limit.onPeerReport(digest, nowNanos);
      takeChange(engineId, engine, changed, NoticeSource.PEER);
    }
  }

  private void takeChange(String engineId, Limited engine, boolean changed, NoticeSource source) {
    if (!changed) {
      return;
    }
    if (engine.rate == null) {
      engine.rate = new SharedRate(new SplittableRandom(RendezvousHash.weight(engineId, node)));
    }
    engine.limit.perSecond().ifPresent(engine.rate::setPerSecond);
    found.add(new LimitChange(engineId, engine.limit.perSecond(), source));
  }

  /** What changed since the last call. */
  List<LimitChange> takePending() {
    List<LimitChange> taken = new ArrayList<>();
    for (LimitChange next = found.poll(); next != null; next = found.poll()) {
      taken.add(next);
    }
    return taken;
  }

  /** Engines that have announced a limit, also one that has ended. */
  Set<String> known() {
    return Set.copyOf(engines.keySet());
  }

  /** Whether an engine has announced a limit that is in force. */
  public boolean limited(String engineId) {
    return inForce(engineId, engine -> true, false);
  }

  /** What engines whose limits are in force take a second together. */
  public double perSecond() {
    return engines.keySet().stream()
        .mapToDouble(id -> inForce(id, engine -> engine.limit.perSecond().getAsDouble(), 0.0))
        .sum();
  }

  /** What this node has sent to engines whose limits are in force, within their window. */
  public int sent(long nowNanos) {
    return engines.keySet().stream()
        .mapToInt(id -> inForce(id, engine -> engine.rate.sent(nowNanos), 0))
        .sum();
  }

  /**
   * Takes what the other nodes tell of their parts.
   *
   * @param others their sum, by engine
   * @param nodes how many there may be, this one included; empty while it is not known
   */
  void setOthers(Function<String, RateDigest> others, OptionalInt nodes) {
    engines.forEach(
        (id, engine) -> {
          RateDigest told = others.apply(id);
          synchronized (engine) {
            if (engine.rate != null) {
              engine.rate.setOthers(told, nodes);
            }
          }
        });
  }

  /** A request might be sent to an engine. */
  void onAsked(String engineId, long nowNanos) {
    inForce(
        engineId,
        engine -> {
          engine.rate.onAsked(nowNanos);
          return true;
        },
        false);
  }

  /** Whether a request may be sent to an engine now, as far as its limit goes. */
  boolean takesRequests(String engineId, long nowNanos) {
    return inForce(engineId, engine -> engine.rate.mayTake(nowNanos), true);
  }

  /** The sending of a caller's request begins; whether its engine's limit leaves room for it. */
  public boolean tryTake(String engineId, long nowNanos) {
    return inForce(engineId, engine -> engine.rate.tryTake(nowNanos), true);
  }

  /** The sending of a call of this node's own begins: the engine counts it as any other. */
  public void onSent(String engineId, long nowNanos) {
    inForce(
        engineId,
        engine -> {
          engine.rate.onSent(nowNanos);
          return true;
        },
        false);
  }

  /** About how long it takes until a request may be sent to an engine. */
  Duration untilNext(String engineId, long nowNanos) {
    return inForce(engineId, engine -> engine.rate.untilNext(nowNanos), Duration.ZERO);
  }

  /** What this node tells the others of an engine. */
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

  private <T> T inForce(String engineId, Function<Limited, T> question, T otherwise) {
    Limited engine = engines.get(engineId);
    if (engine == null) {
      return otherwise;
    }
    synchronized (engine) {
      return engine.inForce() ? question.apply(engine) : otherwise;
    }
  }

  /** Forgets engines that are listed no more, once their entries can't merely have lapsed. */
  void retain(Set<String> listed, long nowNanos) {
    engines
        .entrySet()
        .removeIf(known -> !listed.contains(known.getKey()) && old(known.getValue(), nowNanos));
  }

  private static boolean old(Limited engine, long nowNanos) {
    synchronized (engine) {
      return !engine.limit.heardWithin(EngineNotices.KEPT_UNLISTED_NANOS, nowNanos);
    }
  }
}
