package org.fallturn.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.ZoneName;

/**
 * The members one node knows, with the rules by which news replaces older news: a higher
 * incarnation wins, within one the worse state wins. News of the node itself never changes the
 * table; {@link #contradictsSelf} tells whether it must be refuted. Not thread-safe.
 */
final class MemberTable {

  private static final int JITTER_DIVISOR = 4;
  private static final long NOT_SUSPECTED = Long.MAX_VALUE;

  private final GossipParameters settings;
  private final Random random;
  private final Map<NodeId, Entry> entries = new HashMap<>();
  private Member self;
  private long modifications;

  MemberTable(Member self, GossipParameters settings, Random random) {
    this.random = random;
    this.self = self;
    this.settings = settings;
    entries.put(self.node(), new Entry(self));
  }

  Member self() {
    return self;
  }

  /** Rises with each change. */
  long modifications() {
    return modifications;
  }

  Optional<Member> get(NodeId node) {
    return Optional.ofNullable(entries.get(node)).map(entry -> entry.member);
  }

  /** Every member, dead ones included. */
  List<Member> all() {
    return entries.values().stream().map(entry -> entry.member).toList();
  }

  /** The members of a zone that are not dead, this node excluded. */
  List<Member> others(ZoneName zone) {
    List<Member> others = new ArrayList<>();
    for (Entry entry : entries.values()) {
      Member member = entry.member;
      if (member.zone().equals(zone)
          && member.state() != Member.State.DEAD
          && !member.node().equals(self.node())) {
        others.add(member);
      }
    }
    return others;
  }

  /** The zones of all members that are not dead. */
  Collection<ZoneName> zones() {
    return entries.values().stream()
        .filter(entry -> entry.member.state() != Member.State.DEAD)
        .map(entry -> entry.member.zone())
        .distinct()
        .sorted()
        .toList();
  }

  /** Whether news of this node says worse than the node itself does. */
  boolean contradictsSelf(Member news) {
    return news.node().equals(self.node())
        && news.incarnation() >= self.incarnation()
        && rank(news.state()) > rank(self.state());
  }

  /** Replaces the node's own entry. */
  void changeSelf(Member changed) {
    self = changed;
    entries.put(self.node(), new Entry(self));
    modifications++;
  }

  /** Takes news of another member; true when its incarnation or state changed. */
  boolean merge(Member news, long nowNanos) {
    if (news.node().equals(self.node())) {
      return false;
    }
    Entry entry = entries.get(news.node());
    if (entry == null) {
      entry = new Entry(news);
      entries.put(news.node(), entry);
      startTimers(entry, nowNanos);
      modifications++;
      return true;
    }
    if (!replaces(news, entry.member)) {
      raiseVersion(news.node(), news.configurationVersion());
      return false;
    }
    long version = Math.max(news.configurationVersion(), entry.member.configurationVersion());
    entry.member = withVersion(news, version);
    startTimers(entry, nowNanos);
    modifications++;
    return true;
  }

  /** A probe of a member failed; returns the member when that is news. */
  Optional<Member> probeFailed(NodeId node, long nowNanos) {
    Entry entry = entries.get(node);
    if (entry == null || entry.suspectDeadlineNanos != NOT_SUSPECTED) {
      return Optional.empty();
    }
    Member member = entry.member;
    if (member.state() == Member.State.ALIVE) {
      entry.member = withState(member, Member.State.SUSPECT);
      startTimers(entry, nowNanos);
      modifications++;
      return Optional.of(entry.member);
    }
    if (member.state() == Member.State.LEAVING) {
      entry.suspectDeadlineNanos = nowNanos + suspicionNanos();
    }
    return Optional.empty();
  }

  /** A leaving member answered, so its end is not near yet. */
  void answered(NodeId node) {
    Entry entry = entries.get(node);
    if (entry != null && entry.member.state() == Member.State.LEAVING) {
      entry.suspectDeadlineNanos = NOT_SUSPECTED;
      entry.askedOnceMore = false;
    }
  }

  /** Declares a member dead; returns it when that is news. */
  Optional<Member> declareDead(NodeId node, long nowNanos) {
    Entry entry = entries.get(node);
    if (entry == null || entry.member.state() == Member.State.DEAD) {
      return Optional.empty();
    }
    entry.member = withState(entry.member, Member.State.DEAD);
    startTimers(entry, nowNanos);
    modifications++;
    return Optional.of(entry.member);
  }

  /** Members whose time to refute has passed and who did not answer the last question either. */
  List<Member> overdueSuspects(long nowNanos) {
    return overdue(nowNanos, true);
  }

  /** Members whose time to refute has passed; they get one more probe period to answer. */
  List<Member> suspectsToAskOnceMore(long nowNanos) {
    List<Member> overdue = overdue(nowNanos, false);
    for (Member member : overdue) {
      Entry entry = entries.get(member.node());
      entry.askedOnceMore = true;
      entry.suspectDeadlineNanos = nowNanos + settings.probePeriod().toNanos();
    }
    return overdue;
  }

  private List<Member> overdue(long nowNanos, boolean askedOnceMore) {
    List<Member> overdue = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.suspectDeadlineNanos != NOT_SUSPECTED
          && entry.askedOnceMore == askedOnceMore
          && nowNanos - entry.suspectDeadlineNanos >= 0) {
        overdue.add(entry.member);
      }
    }
    return overdue;
  }

  /** Gives every suspect more time, because this node itself was not running. */
  void extendSuspicions(long nanos) {
    for (Entry entry : entries.values()) {
      if (entry.suspectDeadlineNanos != NOT_SUSPECTED) {
        entry.suspectDeadlineNanos += nanos;
      }
    }
  }

  /** Forgets members that have been dead for long. */
  void forget(long nowNanos) {
    long keep = settings.forgetAfter().toNanos();
    boolean removed =
        entries
            .values()
            .removeIf(
                entry ->
                    entry.member.state() == Member.State.DEAD
                        && nowNanos - entry.deadSinceNanos >= keep);
    if (removed) {
      modifications++;
    }
  }

  /** Notes a configuration version; true when it is above the one known. */
  boolean raiseVersion(NodeId node, long version) {
    Entry entry = entries.get(node);
    if (entry == null || entry.member.configurationVersion() >= version) {
      return false;
    }
    entry.member = withVersion(entry.member, version);
    if (node.equals(self.node())) {
      self = entry.member;
    }
    modifications++;
    return true;
  }

  private void startTimers(Entry entry, long nowNanos) {
    Member member = entry.member;
    boolean probedHere = member.zone().equals(self.zone());
    entry.suspectDeadlineNanos =
        member.state() == Member.State.SUSPECT && probedHere
            ? nowNanos + suspicionNanos()
            : NOT_SUSPECTED;
    entry.askedOnceMore = false;
    entry.deadSinceNanos = nowNanos;
  }

  /** Nodes differ in their patience, so that few of them ask a dead member once more. */
  private long suspicionNanos() {
    long patience = settings.suspicionTimeout().toNanos();
    return patience + random.nextLong(patience / JITTER_DIVISOR);
  }

  private static boolean replaces(Member news, Member known) {
    if (news.incarnation() != known.incarnation()) {
      return news.incarnation() > known.incarnation();
    }
    return rank(news.state()) > rank(known.state());
  }

  private static int rank(Member.State state) {
    return switch (state) {
      case ALIVE -> 0;
      case SUSPECT -> 1;
      case LEAVING -> 2;
      case DEAD -> 3;
    };
  }

  static Member withState(Member member, Member.State state) {
    return withIncarnation(member, member.incarnation(), state);
  }

  static Member withIncarnation(Member member, long incarnation, Member.State state) {
    return new Member(
        member.node(),
        member.region(),
        member.zone(),
        member.peerAddress(),
        member.gossipAddress(),
        incarnation,
        state,
        member.configurationVersion());
  }

  private static Member withVersion(Member member, long version) {
    return new Member(
        member.node(),
        member.region(),
        member.zone(),
        member.peerAddress(),
        member.gossipAddress(),
        member.incarnation(),
        member.state(),
        version);
  }

  /** A member with its timers. */
  private static final class Entry {
    private Member member;
    private long suspectDeadlineNanos = NOT_SUSPECTED;
    private boolean askedOnceMore;
    private long deadSinceNanos;

    Entry(Member member) {
      this.member = member;
    }
  }
}
