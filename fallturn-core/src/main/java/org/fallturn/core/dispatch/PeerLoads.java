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
 * What the other nodes last said they have at each engine. A node that has said nothing for a while
 * counts as having nothing, so that the loss of a node does not leave load behind. Sums by engine
 * are kept, and made anew at most every few ms, so that a decision costs no more when there are
 * many nodes.
 *
 * <p>Invariant: while a view of the whole fleet is fresh, what relays say is left out of the sums,
 * since the view holds it. One thread calls.
 */
public final class PeerLoads {

  /**
   * How long a relay's message is believed: three heartbeats. Those that reported to one that is
   * lost find another sooner and count twice until then.
   */
  private static final long LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Views come every 100 ms. */
  public static final long VIEW_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /**
   * A node reports every 300 ms at least, every 100 ms while it has requests; one that is not heard
   * for longer is told nothing either, so that it finds another relay.
   */
  private static final long MEMBER_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /**
   * From placing a prompt to knowing of it through relays: 40 ms in the median and 65 ms in nine of
   * ten cases in the simulated fleet of 95 nodes (docs/design/knowledge.md). Other figures were not
   * tried.
   */
  private static final double LAG_THROUGH_RELAYS_MILLIS = 60;

  private static final long SUMS_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Longer than any engine that works says nothing; only bounds what is kept of engines gone. */
  private static final long SIGN_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** One node alone may merely have lost its own way to the engine. */
  private static final int SUSPECTING_NODES = 2;

  private static final Sum NOTHING = new Sum();

  private final Map<String, Heard> heardByNode = new HashMap<>();
  private final Map<String, Long> signs = new HashMap<>();
  private Map<String, Sum> sums = new HashMap<>();
  private Map<String, BudgetDigest> budgets = new HashMap<>();
  private long sumsAtNanos;
  private boolean sumsStale = true;

  /** Whom a message speaks for. */
  public enum Source {
    /** A node that reports to this one, and those that report to it. */
    MEMBER(MEMBER_LIFETIME_NANOS) {
      @Override
      boolean counts(boolean viewKnown) {
        return true;
      }
    },
    /** A relay and those that report to it. */
    RELAY(LIFETIME_NANOS) {
      @Override
      boolean counts(boolean viewKnown) {
        return !viewKnown;
      }
    },
    /** All nodes but this one and those that report to it. */
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

    /** Whether it is part of the sums. */
    abstract boolean counts(boolean viewKnown);
  }

  /**
   * Takes a digest; one that is older than the last from the same process is dropped.
   *
   * @param speaker where it came from
   */
  public void onDigest(LoadDigest digest, Source source, NetworkAddress speaker, long nowNanos) {
    Heard before = heardByNode.get(digest.node());
    if (before != null && before.digest.isNewerThan(digest) && before.fresh(nowNanos)) {
      return;
    }
    if (source == Source.VIEW) {
      heardByNode.values().removeIf(heard -> heard.source == Source.VIEW);
    }
    heardByNode.put(digest.node(), new Heard(digest, source, speaker, nowNanos));
    sumsStale = true;
    digest.engines().forEach((id, engine) -> takeSign(id, engine, nowNanos));
  }

  /** A sign of life stays known when whoever had it has nothing more to say of the engine. */
  private void takeSign(String engineId, EngineDigest engine, long toldNanos) {
    if (engine.heardAgoMillis() != EngineDigest.NOT_HEARD) {
      long heardNanos = toldNanos - TimeUnit.MILLISECONDS.toNanos(engine.heardAgoMillis());
      signs.merge(engineId, heardNanos, (old, now) -> now - old > 0 ? now : old);
    }
  }

  /** Whether several other nodes have suspended the engine. */
  boolean suspectedByPeers(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).suspecting >= SUSPECTING_NODES;
  }

  /** Whether another node has ordered the engine to take another stage. */
  boolean changing(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).changing > 0;
  }

  /** Whether no other node that may order stages, and was heard of lately, goes before this one. */
  boolean isFirstByName(String node, long nowNanos) {
    return counted(nowNanos).stream()
        .allMatch(heard -> first(node, heard.digest.firstNode()).equals(node));
  }

  /** Whether no other node that was heard of lately may order stages. */
  boolean noPeerMayOrder(long nowNanos) {
    return counted(nowNanos).stream().allMatch(heard -> heard.digest.firstNode().isEmpty());
  }

  /** The first of two names; an empty one is none. */
  private static String first(String left, String right) {
    if (left.isEmpty() || right.isEmpty()) {
      return left + right;
    }
    return left.compareTo(right) <= 0 ? left : right;
  }

  /** When another node last had a sign of life from an engine, as far as it is known. */
  OptionalLong heardNanos(String engineId) {
    Long heardNanos = signs.get(engineId);
    return heardNanos == null ? OptionalLong.empty() : OptionalLong.of(heardNanos);
  }

  /** Requests that the other nodes have at an engine. */
  public int running(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).running;
  }

  /** What the other nodes tell of a limit that the engine names. */
  LimitDigest limit(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).limit;
  }

  /** What the other nodes' work at an engine lately says of its pace. */
  RecentPace pace(String engineId, long nowNanos) {
    Sum sum = sum(engineId, nowNanos);
    return sum.pace.aged(nowNanos - sumsAtNanos);
  }

  /** What the other nodes tell of the retry budget of a service. */
  BudgetDigest budget(String service, long nowNanos) {
    refresh(nowNanos);
    return budgets.getOrDefault(service, BudgetDigest.NONE);
  }

  /** Services of whose retry budgets other nodes tell something. */
  Set<String> budgetedServices(long nowNanos) {
    refresh(nowNanos);
    return Set.copyOf(budgets.keySet());
  }

  /** Long answers among them that have begun. */
  int streams(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).streams;
  }

  /** Prompt tokens that the other nodes have waiting at an engine. */
  PromptBacklog backlog(String engineId, long nowNanos) {
    return sum(engineId, nowNanos).backlog;
  }

  /**
   * How long it takes until what another node does is known here; nothing worth counting where all
   * speak to each other, since prompts are told at once.
   */
  double lagMillis(long nowNanos) {
    if (viewReceivedWithin(VIEW_LIFETIME_NANOS, nowNanos)) {
      return LAG_THROUGH_RELAYS_MILLIS;
    }
    return 0;
  }

  /** How many nodes there are, this one included. */
  public int nodeCount(long nowNanos) {
    return 1 + counted(nowNanos).stream().mapToInt(heard -> heard.digest.nodes()).sum();
  }

  /** Whether any node reports to this one. */
  public boolean hasMembers(long nowNanos) {
    return fresh(Source.MEMBER, nowNanos).findAny().isPresent();
  }

  /** Whether a view of the fleet came within a time. */
  public boolean viewReceivedWithin(long nanos, long nowNanos) {
    return heardByNode.values().stream()
        .anyMatch(heard -> heard.source == Source.VIEW && nowNanos - heard.atNanos < nanos);
  }

  /** Where messages of a kind came from lately. */
  public List<NetworkAddress> senders(Source source, long nowNanos) {
    return fresh(source, nowNanos).map(heard -> heard.speaker).toList();
  }

  /** What this node and those that report to it have together. */
  public LoadDigest group(LoadDigest own, long nowNanos) {
    List<Heard> members = fresh(Source.MEMBER, nowNanos).toList();
    return members.isEmpty() ? own : together(own, members, nowNanos);
  }

  private Stream<Heard> fresh(Source source, long nowNanos) {
    return heardByNode.values().stream()
        .filter(heard -> heard.source == source && heard.fresh(nowNanos));
  }

  private static LoadDigest together(LoadDigest own, List<Heard> others, long nowNanos) {
    Map<String, Sum> all = new HashMap<>();
    addTo(all, own, nowNanos, nowNanos);
    int nodes = own.nodes();
    String first = own.firstNode();
    for (Heard other : others) {
      addTo(all, other.digest, other.atNanos, nowNanos);
      nodes += other.digest.nodes();
      first = first(first, other.digest.firstNode());
    }
    Map<String, BudgetDigest> budgets = new HashMap<>(own.budgets());
    others.forEach(other -> addBudgets(budgets, other, nowNanos));
    return own.withGroup(nodes, first, digests(all, nowNanos), budgets);
  }

  /** What each node that reports to this one is told: what all have but those it speaks for. */
  public Map<NetworkAddress, LoadDigest> views(LoadDigest own, long nowNanos) {
    List<Heard> counted = counted(nowNanos);
    Map<NetworkAddress, LoadDigest> views = new HashMap<>();
    for (Heard member : counted) {
      if (member.source == Source.MEMBER) {
        List<Heard> others = counted.stream().filter(heard -> heard != member).toList();
        views.put(member.speaker, together(own, others, nowNanos));
      }
    }
    return views;
  }

  private static void addTo(
      Map<String, Sum> all, LoadDigest digest, long toldNanos, long nowNanos) {
    digest
        .engines()
        .forEach(
            (id, engine) ->
                all.computeIfAbsent(id, key -> new Sum()).add(engine, toldNanos, nowNanos));
  }

  private static void addBudgets(Map<String, BudgetDigest> all, Heard heard, long nowNanos) {
    if (nowNanos - heard.atNanos < SharedBudget.DIGEST_LIFETIME_NANOS) {
      heard
          .digest
          .budgets()
          .forEach((service, told) -> all.merge(service, told, BudgetDigest::plus));
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
      addUp(nowNanos);
    }
  }

  private void addUp(long nowNanos) {
    heardByNode.values().removeIf(heard -> !heard.fresh(nowNanos));
    signs.values().removeIf(heardNanos -> nowNanos - heardNanos > SIGN_LIFETIME_NANOS);
    sums = new HashMap<>();
    budgets = new HashMap<>();
    counted(nowNanos)
        .forEach(
            heard -> {
              addTo(sums, heard.digest, heard.atNanos, nowNanos);
              addBudgets(budgets, heard, nowNanos);
            });
    sumsAtNanos = nowNanos;
    sumsStale = false;
  }

  private List<Heard> counted(long nowNanos) {
    boolean viewKnown = viewReceivedWithin(VIEW_LIFETIME_NANOS, nowNanos);
    List<Heard> counted = new ArrayList<>();
    for (Heard heard : heardByNode.values()) {
      if (heard.fresh(nowNanos) && heard.source.counts(viewKnown)) {
        counted.add(heard);
      }
    }
    return counted;
  }

  private record Heard(LoadDigest digest, Source source, NetworkAddress speaker, long atNanos) {

    boolean fresh(long nowNanos) {
      return nowNanos - atNanos < source.lifetimeNanos;
    }
  }

  /** What several nodes have at one engine. */
  private static final class Sum {

    private int running;
    private int streams;
    private final PromptBacklog backlog = new PromptBacklog();
    private int suspecting;
    private int changing;
    private int leaving;
    private LimitDigest limit = LimitDigest.NONE;
    private RecentPace pace = RecentPace.NONE;
    private boolean heard;
    private long heardNanos;

    void add(EngineDigest engine, long toldNanos, long nowNanos) {
      running += engine.running();
      streams += engine.streams();
      backlog.addAll(engine.waitingTokens());
      suspecting += engine.suspecting();
      changing += engine.changing();
      leaving += engine.leaving();
      int age = (int) TimeUnit.NANOSECONDS.toMillis(nowNanos - toldNanos);
      limit = limit.and(engine.limit().aged(age));
      pace = pace.and(engine.pace().aged(nowNanos - toldNanos));
      if (engine.heardAgoMillis() != EngineDigest.NOT_HEARD) {
        onHeard(toldNanos - TimeUnit.MILLISECONDS.toNanos(engine.heardAgoMillis()));
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
          suspecting,
          changing,
          heardAgo,
          leaving,
          limit,
          pace.dropIfNegligible());
    }
  }
}
