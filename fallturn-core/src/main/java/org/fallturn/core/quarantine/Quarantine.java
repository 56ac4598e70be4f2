package org.fallturn.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.fallturn.core.membership.RendezvousHash;

/**
 * Contents under which engines have crashed, as this node and the others have seen it, and which of
 * them are not sent any more.
 *
 * <p>A content is clear until two engines have crashed under it, then suspected, and in quarantine
 * from the third. A broken connection is taken for a crash only once the engine is found to be
 * gone. A content is released by one good answer, by signs of life of engines that only seemed to
 * crash, or once nobody has asked for it for {@link #LIFETIME_MILLIS}. A crash also ends whatever
 * else ran at the engine: what a content in quarantine explains is held against no other that has
 * fewer crashes.
 *
 * <p>Invariant: no more than {@link #MAX_SUSPECTS} contents are kept, and those with most crashes
 * stay. Pure; one thread calls.
 */
public final class Quarantine {

  /**
   * How long a content is remembered that nobody asks for: the operators' engines are replaced by
   * newer versions, which may bear it, in the course of hours, and callers' retries take seconds.
   */
  public static final long LIFETIME_MILLIS = TimeUnit.MINUTES.toMillis(30);

  /** Some 300 bytes each; one crash brings as many as the engine has requests, 48 at most. */
  static final int MAX_SUSPECTS = 1_024;

  /** Contents in one message, some 100 bytes each, so that it stays within a few KB. */
  private static final int MAX_REPORTS = 24;

  /**
   * A change is told for so long, in each turn of 100 ms, as messages may be lost. At once only
   * what is more than one broken connection.
   */
  private static final long TELL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** How often those in quarantine are told to nodes that may have missed it or just started. */
  private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The node that saw the last crash writes at once, one of the others when it did not. */
  private static final long OTHERS_STORE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long STORE_SPREAD_MILLIS = 2_000;
  private static final long STORE_AGAIN_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Longer than a change is told, and than an engine may be heard after its last sign. */
  private static final long REST_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final long SWEEP_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final String node;
  private final Map<RequestFingerprint, Suspect> suspects = new LinkedHashMap<>();

  /**
   * Those of which anything may change by itself or be told. The others, of which one crash is
   * known, are most: they are not looked through at each tick and message.
   */
  private final Set<Suspect> active = new LinkedHashSet<>();

  private final Map<Integer, Integer> sketches = new HashMap<>();

  /**
   * What this node has sent and has not ended, by request: copies of one content are found here.
   */
  private final Map<String, RequestContent> sent = new HashMap<>();

  private final List<QuarantineStatusChange> changes = new ArrayList<>();
  private final List<RequestFingerprint> released = new ArrayList<>();
  private final List<Suspect> culprits = new ArrayList<>();
  private boolean explainedAll = true;
  private long sweptNanos;
  private boolean news;

  /**
   * Knows of nothing yet.
   *
   * @param node name of this node
   */
  public Quarantine(String node) {
    this.node = node;
  }

  /** What is thought of a content that is about to be sent. */
  public QuarantineStatus status(RequestContent content, long nowNanos) {
    Suspect suspect = find(content);
    if (suspect == null) {
      return QuarantineStatus.CLEAR;
    }
    suspect.onAsked(nowNanos);
    boolean underWay = sent.values().stream().anyMatch(copy -> copy.is(suspect.content()));
    return suspect.standingAt(underWay, nowNanos);
  }

  /** Costs nothing where no content with the same sketch is known. */
  private Suspect find(RequestContent content) {
    return sketches.containsKey(content.sketch()) ? suspects.get(content.fingerprint()) : null;
  }

  /** A content is sent to an engine under a request's id. */
  public void onSent(RequestContent content, String requestId) {
    sent.put(requestId, content);
  }

  /** What was sent under a request's id has ended, however it did. */
  public void onEnded(String requestId) {
    sent.remove(requestId);
  }

  /** An engine seems to have crashed while it had the content: its connection broke. */
  public void onCrash(RequestContent content, String engineId, long nowNanos) {
    Suspect suspect = suspect(content.fingerprint(), nowNanos, nowNanos);
    suspect.onAsked(nowNanos);
    if (suspect.onCrash(engineId, nowNanos, true, false, nowNanos)) {
      onLearned(suspect);
    }
    dropWhenEmpty(suspect);
  }

  /** An engine is found to be gone: whatever it seemed to crash under, it did crash under. */
  public void onEngineGone(String engineId, long nowNanos) {
    for (Suspect suspect : suspects.values()) {
      if (suspect.onGone(engineId, nowNanos)) {
        onLearned(suspect);
        notice(suspect);
        suspect.storeAtOnce(nowNanos);
      }
    }
  }

  /**
   * The list of engines has changed.
   *
   * @param listed whether an engine is in it
   */
  public void onDirectory(Predicate<String> listed, long nowNanos) {
    active.stream()
        .flatMap(suspect -> suspect.unsure().stream())
        .filter(listed.negate())
        .distinct()
        .toList()
        .forEach(engineId -> onEngineGone(engineId, nowNanos));
  }

  /** Engines that should be asked now whether they live. */
  public Set<String> takeProbes(long nowNanos) {
    Set<String> due = new HashSet<>();
    active.forEach(suspect -> due.addAll(suspect.takeProbes(nowNanos)));
    return due;
  }

  private void onLearned(Suspect suspect) {
    active.add(suspect);
    news |= suspect.matters();
    explainedAll = false;
    suspect.setCulprits(culprits);
  }

  /**
   * Finds anew which crashes are explained, from the content with most crashes to the least. Done
   * at ticks only, since a crash ends many requests at once.
   */
  private void explainAll() {
    List<Suspect> ordered = new ArrayList<>(suspects.values());
    ordered.sort(Comparator.comparing(Suspect::crashCount).reversed());
    culprits.clear();
    for (Suspect suspect : ordered) {
      if (suspect.setCulprits(culprits)) {
        active.add(suspect);
      }
      if (suspect.status() == QuarantineStatus.QUARANTINED) {
        culprits.add(suspect);
      }
    }
  }

  /** The content was answered well. */
  public void onSuccess(RequestContent content, long nowNanos) {
    Suspect suspect = find(content);
    if (suspect == null) {
      return;
    }
    if (!suspect.matters()) {
      drop(suspect);
    } else if (suspect.onSuccess(nowNanos, nowNanos)) {
      active.add(suspect);
      news = true;
      notice(suspect);
      release(suspect);
    }
  }

  private void release(Suspect suspect) {
    if (suspect.storedInVain()) {
      suspect.onRemovedFromStore();
      released.add(suspect.content());
    }
  }

  /** Another node tells of a content. */
  public void onPeerReport(CrashReport report, long nowNanos) {
    if (report.askedAgoMillis() > LIFETIME_MILLIS) {
      return;
    }
    long askedNanos = at(report.askedAgoMillis(), nowNanos);
    Suspect suspect = suspect(report.content(), askedNanos, nowNanos);
    suspect.onAsked(askedNanos);
    boolean learned = false;
    if (report.goodAgoMillis() != CrashReport.NEVER) {
      learned = suspect.onSuccess(at(report.goodAgoMillis(), nowNanos), nowNanos);
    }
    for (SeenCrash crash : report.crashes()) {
      long crashedNanos = at(crash.ageMillis(), nowNanos);
      learned |=
          suspect.onCrash(crash.engineId(), crashedNanos, false, crash.engineGone(), nowNanos);
    }
    if (report.confirmedAgoMillis() != CrashReport.NEVER) {
      learned |= suspect.confirm(at(report.confirmedAgoMillis(), nowNanos), nowNanos);
    }
    if (report.stored() && !suspect.stored()) {
      suspect.onStored(nowNanos);
    }
    if (learned) {
      onLearned(suspect);
    }
    notice(suspect);
    dropWhenEmpty(suspect);
  }

  private static long at(long agoMillis, long nowNanos) {
    return nowNanos - TimeUnit.MILLISECONDS.toNanos(agoMillis);
  }

  /**
   * The store holds it, from before this process began.
   *
   * @param ageMillis how long ago it was written
   */
  public void onLoadedFromStore(RequestFingerprint content, long ageMillis, long nowNanos) {
    long writtenNanos = at(ageMillis, nowNanos);
    Suspect suspect = suspect(content, writtenNanos, nowNanos);
    if (suspect.confirm(writtenNanos, nowNanos)) {
      suspect.onStored(writtenNanos);
      active.add(suspect);
    }
    notice(suspect);
    dropWhenEmpty(suspect);
  }

  /** The store holds it, from before this process began, in quarantine or under suspicion. */
  public void onLoadedFromStore(QuarantineStore.StoredContent held, long nowNanos) {
    if (held.engines().isEmpty()) {
      onLoadedFromStore(held.content(), held.ageMillis(), nowNanos);
      return;
    }
    long writtenNanos = at(held.ageMillis(), nowNanos);
    Suspect suspect = suspect(held.content(), writtenNanos, nowNanos);
    boolean learned = false;
    for (String engineId : held.engines()) {
      learned |= suspect.onCrash(engineId, writtenNanos, false, true, nowNanos);
    }
    if (learned) {
      suspect.onSuspicionStored(held.engines());
      onLearned(suspect);
    }
    notice(suspect);
    dropWhenEmpty(suspect);
  }

  /** The store has taken it. */
  public void onStored(RequestFingerprint content, long nowNanos) {
    Suspect suspect = suspects.get(content);
    if (suspect != null) {
      suspect.onStored(nowNanos);
    }
  }

  /**
   * Lets time pass; called several times a second.
   *
   * @param lastHeard when an engine was heard last by any node
   */
  public void onTick(Function<String, OptionalLong> lastHeard, long nowNanos) {
    for (Suspect suspect : active) {
      if (suspect.forgive(lastHeard)) {
        explainedAll = false;
      }
    }
    if (!explainedAll) {
      explainedAll = true;
      explainAll();
    }
    for (Suspect suspect : List.copyOf(active)) {
      suspect.confirmWhenSettled(nowNanos);
      settle(suspect);
      if (suspect.restsSince(nowNanos - REST_NANOS)) {
        active.remove(suspect);
      }
    }
    if (nowNanos - sweptNanos >= SWEEP_NANOS) {
      sweptNanos = nowNanos;
      lapse(nowNanos);
    }
  }

  private void settle(Suspect suspect) {
    notice(suspect);
    release(suspect);
    dropWhenEmpty(suspect);
  }

  private void lapse(long nowNanos) {
    long lifetime = TimeUnit.MILLISECONDS.toNanos(LIFETIME_MILLIS);
    for (Suspect suspect : List.copyOf(suspects.values())) {
      if (nowNanos - suspect.askedNanos() > lifetime) {
        suspect.lapse();
        settle(suspect);
      }
    }
  }

  private Suspect suspect(RequestFingerprint content, long askedNanos, long nowNanos) {
    Suspect known = suspects.get(content);
    if (known != null) {
      return known;
    }
    if (suspects.size() >= MAX_SUSPECTS) {
      suspects.values().stream()
          .min(
              Comparator.comparing(Suspect::status)
                  .thenComparing(Suspect::crashCount)
                  .thenComparing(Suspect::askedNanos))
          .ifPresent(this::drop);
    }
    Suspect added = new Suspect(content, askedNanos, nowNanos);
    suspects.put(content, added);
    sketches.merge(content.sketch(), 1, Integer::sum);
    return added;
  }

  private void dropWhenEmpty(Suspect suspect) {
    if (!suspect.says()) {
      drop(suspect);
    }
  }

  private void drop(Suspect suspect) {
    active.remove(suspect);
    if (suspects.remove(suspect.content()) != null) {
      explainedAll = false;
      sketches.computeIfPresent(
          suspect.content().sketch(), (sketch, count) -> count == 1 ? null : count - 1);
    }
  }

  private void notice(Suspect suspect) {
    if (suspect.takeChange()) {
      changes.add(
          new QuarantineStatusChange(suspect.content(), suspect.status(), suspect.engines()));
    }
  }

  /** Changes of what is thought of contents, since the last call. */
  public List<QuarantineStatusChange> takeChanges() {
    List<QuarantineStatusChange> taken = List.copyOf(changes);
    changes.clear();
    return taken;
  }

  /** Whether anything was learned since the last call that the others should hear at once. */
  public boolean takeUrgentChange() {
    boolean taken = news;
    news = false;
    return taken;
  }

  /**
   * What is due to be told to the other nodes, those in quarantine first.
   *
   * @param passesOn whether others hear what this node was told only from it
   */
  public List<CrashReport> takeReports(boolean passesOn, long nowNanos) {
    if (active.isEmpty()) {
      return List.of();
    }
    return active.stream()
        .sorted(Comparator.comparing(Suspect::status).reversed().thenComparing(Suspect::toldNanos))
        .filter(suspect -> suspect.takeTellDue(TELL_NANOS, REPEAT_NANOS, passesOn, nowNanos))
        .limit(MAX_REPORTS)
        .map(suspect -> suspect.report(nowNanos))
        .toList();
  }

  /** Contents in quarantine that the store should hold, as far as this node is to see to it. */
  public List<RequestFingerprint> takeUnstored(long nowNanos) {
    return active.stream()
        .filter(suspect -> suspect.status() == QuarantineStatus.QUARANTINED)
        .filter(suspect -> suspect.takeStoreDue(othersPause(suspect), STORE_AGAIN_NANOS, nowNanos))
        .map(Suspect::content)
        .toList();
  }

  /**
   * Contents that have come under suspicion, with the engines that crashed under each, which the
   * store should hold as far as this node is to see to it: a process that ends would else take what
   * it has counted with it. What one engine crashed under is left out, as that is most.
   */
  public Map<RequestFingerprint, Set<String>> takeUnstoredSuspects() {
    Map<RequestFingerprint, Set<String>> due = new HashMap<>();
    for (Suspect suspect : active) {
      suspect.takeSuspicionDue().ifPresent(engines -> due.put(suspect.content(), engines));
    }
    return due;
  }

  /** A different one for each node, so that one writes and the others hear of it. */
  private long othersPause(Suspect suspect) {
    long rank = RendezvousHash.weight(suspect.content().digest(), node);
    long spread = Long.remainderUnsigned(rank, STORE_SPREAD_MILLIS);
    return OTHERS_STORE_NANOS + TimeUnit.MILLISECONDS.toNanos(spread);
  }

  /** Contents that were released and that the store need not hold any more. */
  public List<RequestFingerprint> takeReleased() {
    List<RequestFingerprint> taken = List.copyOf(released);
    released.clear();
    return taken;
  }

  /** How many contents are in quarantine. */
  public int quarantined() {
    return (int)
        active.stream().filter(suspect -> suspect.status() == QuarantineStatus.QUARANTINED).count();
  }
}
