package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * What the other nodes last said they have at each engine. A node that has said nothing for a while
 * counts as having nothing, so that the loss of a node does not leave load behind. Sums by engine
 * are kept, and made anew at most every few ms, so that a decision costs no more when there are
 * many nodes. One thread calls.
 */
public final class PeerLoads {

  /** At least this long, and long enough for every node to have had its turn. */
  private static final long MIN_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private static final long TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final int NODES_A_TURN = 4;

  private static final long SUMS_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** One node alone may merely have lost its own way to the engine. */
  private static final int SUSPECTING_NODES = 2;

  private static final Sum NOTHING = new Sum();

  private final Map<String, Heard> heardByNode = new HashMap<>();
  private Map<String, Sum> sums = new HashMap<>();
  private long sumsAtNanos;
  private boolean sumsStale = true;

  /** Takes a digest; one that is older than the last from the same process is dropped. */
  public void onDigest(LoadDigest digest, long nowNanos) {
    Heard before = heardByNode.get(digest.node());
    boolean outdated = before != null && before.digest.isNewerThan(digest);
    if (outdated && nowNanos - before.atNanos < lifetimeNanos()) {
      return;
    }
    heardByNode.put(digest.node(), new Heard(digest, nowNanos));
    sumsStale = true;
  }

  /** Whether several other nodes have suspended the engine. */
  boolean suspects(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).suspecting >= SUSPECTING_NODES;
  }

  /** Whether another node has ordered the engine to take another stage. */
  boolean changing(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).changing > 0;
  }

  /** Whether no other node that was heard lately has a name before this one's. */
  boolean isFirst(String node, long nowNanos) {
    long lifetime = lifetimeNanos();
    return heardByNode.entrySet().stream()
        .filter(heard -> nowNanos - heard.getValue().atNanos < lifetime)
        .noneMatch(heard -> heard.getKey().compareTo(node) < 0);
  }

  /** When another node last had a sign of life from an engine, as far as it is known. */
  OptionalLong heardNanos(String engineId, long nowNanos) {
    Sum sum = sum(engineId, nowNanos);
    return sum.heard ? OptionalLong.of(sum.heardNanos) : OptionalLong.empty();
  }

  /** Requests that the other nodes have at an engine. */
  int running(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).running;
  }

  /** Long answers among them that have begun. */
  int streams(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).streams;
  }

  /** Prompt tokens that the other nodes have waiting at an engine. */
  PromptBacklog backlog(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).backlog;
  }

  private long lifetimeNanos() {
    long turns = heardByNode.size() / NODES_A_TURN;
    return Math.max(MIN_LIFETIME_NANOS, turns * TURN_NANOS);
  }

  private Sum sum(String engineId, long nowNanos) {
    boolean old = nowNanos - sumsAtNanos >= SUMS_LIFETIME_NANOS;
    if (sumsStale && old || nowNanos - sumsAtNanos >= MIN_LIFETIME_NANOS) {
      addUp(nowNanos);
    }
    return sums.getOrDefault(engineId, NOTHING);
  }

  private void addUp(long nowNanos) {
    long lifetime = lifetimeNanos();
    heardByNode.values().removeIf(heard -> nowNanos - heard.atNanos >= lifetime);
    sums = new HashMap<>();
    for (Heard heard : heardByNode.values()) {
      heard.digest.engines().forEach((id, engine) -> sumOf(id).add(engine, heard.atNanos));
    }
    sumsAtNanos = nowNanos;
    sumsStale = false;
  }

  private Sum sumOf(String engineId) {
    return sums.computeIfAbsent(engineId, id -> new Sum());
  }

  private record Heard(LoadDigest digest, long atNanos) {}

  /** What all other nodes have at one engine. */
  private static final class Sum {

    private int running;
    private int streams;
    private final PromptBacklog backlog = new PromptBacklog();
    private int suspecting;
    private int changing;
    private boolean heard;
    private long heardNanos;

    void add(EngineDigest engine, long toldNanos) {
      running += engine.running();
      streams += engine.streams();
      backlog.addAll(engine.waitingTokens());
      suspecting += engine.suspecting();
      changing += engine.changing();
      if (engine.heardAgoMillis() != EngineDigest.NOT_HEARD) {
        onHeard(toldNanos - TimeUnit.MILLISECONDS.toNanos(engine.heardAgoMillis()));
      }
    }

    private void onHeard(long nanos) {
      heardNanos = heard ? Math.max(heardNanos, nanos) : nanos;
      heard = true;
    }
  }
}
