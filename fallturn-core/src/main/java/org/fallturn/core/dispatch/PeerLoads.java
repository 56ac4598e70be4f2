package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.limits.LimitDigest;
import org.fallturn.core.limits.SharedBudget;
import org.fallturn.core.pace.RecentPace;

/**
 * The load that the other nodes last reported at each engine. A node that has reported nothing for
 * a while counts as having no load, so that a lost node leaves none behind. The sums by engine are
 * cached and recomputed at most every few ms, so that a decision costs no more in a fleet of many
 * nodes.
 *
 * <p>Invariant: while a view of the whole fleet is fresh, the sums leave out what relays report,
 * since the view contains it. Confined to one thread.
 */
public final class PeerLoads {

  /**
   * How long a relay's message counts: three heartbeats. The members of a lost relay find another
   * one sooner than that, and count twice until the message of the lost relay expires.
   */
  private static final long RELAY_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** How long a view of the fleet counts; one comes every 100 ms. */
  public static final long VIEW_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /**
   * How long a member's report counts. A node reports at least every 300 ms, and every 100 ms while
   * it has requests. A member that has not been heard for this long gets no views any more, so that
   * it finds another relay.
   */
  private static final long MEMBER_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /**
   * Estimated time in ms from placing a prompt until other nodes learn of it through relays. In a
   * simulated fleet of 95 nodes the median was 40 ms and the 90th percentile 65 ms
   * (docs/design/knowledge.md).
   */
  private static final double RELAY_LAG_MILLIS = 60;

  private static final long SUMS_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /**
   * How long a sign of life is kept. It is longer than any working engine is silent, and only
   * bounds what is kept of engines that are gone.
   */
  private static final long SIGN_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(30);

  /**
   * Number of other nodes that must have suspended an engine before it counts as suspected: one
   * node alone may merely have lost its own connection to it.
   */
  private static final int MIN_SUSPECTING_NODES = 2;

  private static final Sum NOTHING = new Sum();

  private final Map<String, Received> receivedByNode = new HashMap<>();
  private final Map<String, Long> signsOfLife = new HashMap<>();
  private Map<String, Sum> sums = new HashMap<>();
  private Map<String, BudgetDigest> budgets = new HashMap<>();
  private long sumsAtNanos;
  private boolean sumsStale = true;

  /** The nodes for which a message speaks. */
  public enum Source {
    /** A member, which is a node that reports to this one, and the nodes that report to it. */
    MEMBER(MEMBER_LIFETIME_NANOS) {
      @Override
      boolean counts(boolean viewKnown) {
        return true;
      }
    },
    /** A relay and its members. */
    RELAY(RELAY_LIFETIME_NANOS) {
      @Override
      boolean counts(boolean viewKnown) {
        return !viewKnown;
      }
    },
    /** All nodes but this one and its members. */
    VIEW(VIEW_LIFETIME_NANOS) {
      @Override
      boolean counts(boolean viewKnown) {
        return true;
      }
    };

    private final long lifetimeNanos;

    Source(long lifetimeNanos) {
      this.lifetimeNanos = lifetimeNanos;
    }

    /**
     * Returns whether messages of this kind are part of the sums.
     *
     * @param viewKnown whether a view of the fleet is fresh
     */
    abstract boolean counts(boolean viewKnown);
  }

  /**
   * Takes a digest. A digest that is older than the last one from the same process is dropped.
   *
   * @param source the nodes for which the digest speaks
   * @param sender address of the node that sent it
   */
  public void onDigest(LoadDigest digest, Source source, NetworkAddress sender, long nowNanos) {
    Received before = receivedByNode.get(digest.node());
    if (before != null && before.digest.isNewerThan(digest) && before.fresh(nowNanos)) {
      return;
    }
    if (source == Source.VIEW) {
      receivedByNode.values().removeIf(received -> received.source == Source.VIEW);
    }
    receivedByNode.put(digest.node(), new Received(digest, source, sender, nowNanos));
    sumsStale = true;
    digest.engines().forEach((id, engine) -> recordSignOfLife(id, engine, nowNanos));
  }

  /**
   * Records a sign of life apart from the digest, so that it stays known when the node that
   * received it has nothing more to report of the engine.
   */
  private void recordSignOfLife(String engineId, EngineDigest engine, long receivedNanos) {
    if (engine.heardAgoMillis() != EngineDigest.NOT_HEARD) {
      long heardNanos = receivedNanos - TimeUnit.MILLISECONDS.toNanos(engine.heardAgoMillis());
      signsOfLife.merge(engineId, heardNanos, (old, now) -> now - old > 0 ? now : old);
    }
  }

  /** Returns whether several other nodes have suspended the engine. */
  boolean suspectedByPeers(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).suspecting >= MIN_SUSPECTING_NODES;
  }

  /** Returns whether another node has ordered the engine to change to another stage. */
  boolean changing(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).changing > 0;
  }

  /**
   * Returns whether this node's name comes before those of all other nodes that may order changes
   * of stage and were heard recently.
   */
  boolean isFirstByName(String node, long nowNanos) {
    return countedDigests(nowNanos).stream()
        .allMatch(received -> lowestName(node, received.digest.firstNode()).equals(node));
  }

  /**
   * Returns whether none of the other nodes that were heard recently may order changes of stage.
   */
  boolean noPeerMayOrder(long nowNanos) {
    return countedDigests(nowNanos).stream()
        .allMatch(received -> received.digest.firstNode().isEmpty());
  }

  /** Returns the name that comes first in alphabetical order; an empty name stands for no node. */
  private static String lowestName(String left, String right) {
    if (left.isEmpty() || right.isEmpty()) {
      return left + right;
    }
    return left.compareTo(right) <= 0 ? left : right;
  }

  /** Returns when another node last received a sign of life from an engine, if that is known. */
  OptionalLong heardNanos(String engineId) {
    Long heardNanos = signsOfLife.get(engineId);
    return heardNanos == null ? OptionalLong.empty() : OptionalLong.of(heardNanos);
  }

  /** Returns how many requests the other nodes have at an engine. */
  public int running(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).running;
  }

  /** Returns what the other nodes report of a rate limit that the engine announces. */
  LimitDigest limit(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).limit;
  }

  /** Returns what the recent work of the other nodes at an engine says about its pace. */
  RecentPace pace(String engineId, long nowNanos) {
    Sum sum = sum(engineId, nowNanos);
    return sum.pace.aged(nowNanos - sumsAtNanos);
  }

  /** Returns what the other nodes report of the retry budget of a service. */
  BudgetDigest budget(String service, long nowNanos) {
    refresh(nowNanos);
    return budgets.getOrDefault(service, BudgetDigest.NONE);
  }

  /** Returns the services for which other nodes report shares of a retry budget. */
  Set<String> budgetedServices(long nowNanos) {
    refresh(nowNanos);
    return Set.copyOf(budgets.keySet());
  }

  /** Returns how many long answers to the other nodes have begun at an engine. */
  int streams(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).streams;
  }

  /** Returns the prompt tokens of the other nodes that wait at an engine. */
  PromptBacklog backlog(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).backlog;
  }

  /** Returns the length in tokens of the longest of these prompts; 0 if there is none. */
  long longestPrompt(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).longestPrompt;
  }

  /**
   * Returns the time in ms until this node knows what another node does. It is negligible where all
   * nodes speak directly to each other, since they report prompts at once.
   */
  double lagMillis(long nowNanos) {
    if (viewReceivedWithin(VIEW_LIFETIME_NANOS, nowNanos)) {
      return RELAY_LAG_MILLIS;
    }
    return 0;
  }

  /** Returns how many nodes there are, this one included. */
  public int nodeCount(long nowNanos) {
    return 1
        + countedDigests(nowNanos).stream().mapToInt(received -> received.digest.nodes()).sum();
  }

  /** Returns whether any node reports to this one. */
  public boolean hasMembers(long nowNanos) {
    return fresh(Source.MEMBER, nowNanos).findAny().isPresent();
  }

  /** Returns whether a view of the fleet came within the last {@code nanos}. */
  public boolean viewReceivedWithin(long nanos, long nowNanos) {
    return receivedByNode.values().stream()
        .anyMatch(
            received -> received.source == Source.VIEW && nowNanos - received.atNanos < nanos);
  }

  /** Returns the addresses from which fresh messages of a kind came. */
  public List<NetworkAddress> senders(Source source, long nowNanos) {
    return fresh(source, nowNanos).map(received -> received.sender).toList();
  }

  /** Returns the load of this node and its members together. */
  public LoadDigest group(LoadDigest own, long nowNanos) {
    List<Received> members = fresh(Source.MEMBER, nowNanos).toList();
    return members.isEmpty() ? own : combine(own, members, nowNanos);
  }

  private Stream<Received> fresh(Source source, long nowNanos) {
    return receivedByNode.values().stream()
        .filter(received -> received.source == source && received.fresh(nowNanos));
  }

  private static LoadDigest combine(LoadDigest own, List<Received> others, long nowNanos) {
    Map<String, Sum> all = new HashMap<>();
    addTo(all, own, nowNanos, nowNanos);
    int nodes = own.nodes();
    String lowestName = own.firstNode();
    for (Received other : others) {
      addTo(all, other.digest, other.atNanos, nowNanos);
      nodes += other.digest.nodes();
      lowestName = lowestName(lowestName, other.digest.firstNode());
    }
    Map<String, BudgetDigest> budgets = new HashMap<>(own.budgets());
    others.forEach(other -> addBudgets(budgets, other, nowNanos));
    return own.withGroup(nodes, lowestName, digests(all, nowNanos), budgets);
  }

  /**
   * Returns the view for each member, by its address: the load of all nodes but those for which the
   * member speaks.
   */
  public Map<NetworkAddress, LoadDigest> views(LoadDigest own, long nowNanos) {
    List<Received> countedDigests = countedDigests(nowNanos);
    Map<NetworkAddress, LoadDigest> views = new HashMap<>();
    for (Received member : countedDigests) {
      if (member.source == Source.MEMBER) {
        List<Received> others =
            countedDigests.stream().filter(received -> received != member).toList();
        views.put(member.sender, combine(own, others, nowNanos));
      }
    }
    return views;
  }

  private static void addTo(
      Map<String, Sum> all, LoadDigest digest, long receivedNanos, long nowNanos) {
    digest
        .engines()
        .forEach(
            (id, engine) ->
                all.computeIfAbsent(id, key -> new Sum()).add(engine, receivedNanos, nowNanos));
  }

  private static void addBudgets(Map<String, BudgetDigest> all, Received received, long nowNanos) {
    if (nowNanos - received.atNanos < SharedBudget.DIGEST_LIFETIME_NANOS) {
      received
          .digest
          .budgets()
          .forEach((service, reported) -> all.merge(service, reported, BudgetDigest::plus));
    }
  }

  private static Map<String, EngineDigest> digests(Map<String, Sum> all, long nowNanos) {
    Map<String, EngineDigest> digests = new HashMap<>();
    all.forEach((id, sum) -> digests.put(id, sum.toDigest(nowNanos)));
    return digests;
  }

  private Sum sum(String engineId, long nowNanos) {
    refresh(nowNanos);
    return sums.getOrDefault(engineId, NOTHING);
  }

  private void refresh(long nowNanos) {
    boolean old = nowNanos - sumsAtNanos >= SUMS_LIFETIME_NANOS;
    if (sumsStale && old || nowNanos - sumsAtNanos >= SharedBudget.DIGEST_LIFETIME_NANOS) {
      recomputeSums(nowNanos);
    }
  }

  private void recomputeSums(long nowNanos) {
    receivedByNode.values().removeIf(received -> !received.fresh(nowNanos));
    signsOfLife.values().removeIf(heardNanos -> nowNanos - heardNanos > SIGN_LIFETIME_NANOS);
    sums = new HashMap<>();
    budgets = new HashMap<>();
    countedDigests(nowNanos)
        .forEach(
            received -> {
              addTo(sums, received.digest, received.atNanos, nowNanos);
              addBudgets(budgets, received, nowNanos);
            });
    sumsAtNanos = nowNanos;
    sumsStale = false;
  }

  private List<Received> countedDigests(long nowNanos) {
    boolean viewKnown = viewReceivedWithin(VIEW_LIFETIME_NANOS, nowNanos);
    List<Received> countedDigests = new ArrayList<>();
    for (Received received : receivedByNode.values()) {
      if (received.fresh(nowNanos) && received.source.counts(viewKnown)) {
        countedDigests.add(received);
      }
    }
    return countedDigests;
  }

  private record Received(LoadDigest digest, Source source, NetworkAddress sender, long atNanos) {

    boolean fresh(long nowNanos) {
      return nowNanos - atNanos < source.lifetimeNanos;
    }
  }

  /** The sum of what several nodes have at one engine. */
  private static final class Sum {

    private int running;
    private int streams;
    private final PromptBacklog backlog = new PromptBacklog();
    private long longestPrompt;
    private int suspecting;
    private int changing;
    private int leaving;
    private LimitDigest limit = LimitDigest.NONE;
    private RecentPace pace = RecentPace.NONE;
    private boolean heard;
    private long heardNanos;

    void add(EngineDigest engine, long receivedNanos, long nowNanos) {
      running += engine.running();
      streams += engine.streams();
      backlog.addAll(engine.waitingTokens());
      longestPrompt = Math.max(longestPrompt, engine.longestPrompt());
      suspecting += engine.suspecting();
      changing += engine.changing();
      leaving += engine.leaving();
      int age = (int) TimeUnit.NANOSECONDS.toMillis(nowNanos - receivedNanos);
      limit = limit.and(engine.limit().aged(age));
      pace = pace.and(engine.pace().aged(nowNanos - receivedNanos));
      if (engine.heardAgoMillis() != EngineDigest.NOT_HEARD) {
        onHeard(receivedNanos - TimeUnit.MILLISECONDS.toNanos(engine.heardAgoMillis()));
      }
    }

    private void onHeard(long nanos) {
      heardNanos = heard ? Math.max(heardNanos, nanos) : nanos;
      heard = true;
    }

    EngineDigest toDigest(long nowNanos) {
      int heardAgo =
          heard
              ? (int) Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - heardNanos))
              : EngineDigest.NOT_HEARD;
      return new EngineDigest(
          running,
          streams,
          backlog.toList(),
          longestPrompt,
          suspecting,
          changing,
          heardAgo,
          leaving,
          limit,
          pace.dropIfNegligible());
    }
  }
}
