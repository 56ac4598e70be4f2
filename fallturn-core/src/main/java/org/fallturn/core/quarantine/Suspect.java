package org.fallturn.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What speaks for and against one content.
 *
 * <p>Invariant: a crash before the last good answer does not count, since a content that crashes
 * every engine is never answered well. One thread calls.
 */
final class Suspect {

  /** The operators' bound: a content under which so many engines ended is to be held back. */
  private static final int CRASHES_TO_QUARANTINE = 3;

  /** One crash may be chance, a second seldom is: one in so many engines crashes in a second. */
  private static final int CRASHES_TO_SUSPECT = 2;

  /**
   * Engines of one rack end within some ms when it loses power; the crashes of one content are
   * apart by the time it takes to send and begin it, some 100 ms between the first and the third.
   */
  private static final long ONE_CAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * An engine that is heard so long after it seemed to crash has not crashed. Longer than what it
   * said before is under way: 25 ms until it is noticed, 250 ms until others have told of it.
   */
  private static final long ALIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** After which a verdict stands whatever is heard later: twice the time to hear of a sign. */
  private static final long CONFIRM_NANOS = 2 * ALIVE_NANOS;

  /** The store is told again of what is still asked for, well before it lapses there. */
  private static final long RENEW_NANOS =
      TimeUnit.MILLISECONDS.toNanos(Quarantine.LIFETIME_MILLIS / 3);

  /** An engine that answers its first probes is there; its connection broke for another reason. */
  private static final int MAX_PROBES = 3;

  /** A probe that says nothing is repeated after so long, some round trips to an engine. */
  private static final long PROBE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Longer than any change is told. */
  private static final long LONG_AGO_NANOS = TimeUnit.HOURS.toNanos(1);

  private final RequestFingerprint content;
  private final Map<String, Crash> crashes = new HashMap<>();
  private final Set<String> explained = new HashSet<>();
  private OptionalLong goodNanos = OptionalLong.empty();
  private OptionalLong confirmedNanos = OptionalLong.empty();
  private OptionalLong storedNanos = OptionalLong.empty();
  private OptionalLong storeDueNanos = OptionalLong.empty();
  private Set<String> storedEngines = Set.of();
  private long askedNanos;
  private long changedNanos;
  private long seenHereNanos;
  private long toldNanos;
  private QuarantineStatus status = QuarantineStatus.CLEAR;
  private boolean matters;
  private boolean heldBack;
  private QuarantineStatus noticed = QuarantineStatus.CLEAR;

  /** An engine that seemed to crash, and whether this node saw it. */
  private static final class Crash {

    private final long atNanos;
    private final boolean own;
    private boolean engineGone;
    private int probes;
    private long probedNanos;

    Crash(long atNanos, boolean own, boolean engineGone) {
      this.atNanos = atNanos;
      this.own = own;
      this.engineGone = engineGone;
    }

    boolean takeProbeDue(long nowNanos) {
      boolean due =
          !engineGone
              && probes < MAX_PROBES
              && (probes == 0 || nowNanos - probedNanos >= PROBE_PAUSE_NANOS);
      if (due) {
        probes++;
        probedNanos = nowNanos;
      }
      return due;
    }
  }

  Suspect(RequestFingerprint content, long askedNanos, long nowNanos) {
    this.content = content;
    this.askedNanos = askedNanos;
    this.changedNanos = nowNanos;
    this.seenHereNanos = nowNanos - LONG_AGO_NANOS;
    this.toldNanos = nowNanos;
  }

  RequestFingerprint content() {
    return content;
  }

  QuarantineStatus status() {
    return status;
  }

  /**
   * What is thought of it when it is to be sent now. While engines seem to have crashed under it,
   * one copy at a time is sent from here; and under suspicion none until it is known whether the
   * last one ended its engine. With others under way it would crash more engines than are
   * tolerated.
   *
   * @param underWay whether this node has sent a copy that has not ended
   */
  QuarantineStatus standingAt(boolean underWay, long nowNanos) {
    long undecided = undecided(nowNanos);
    boolean besideAnother = underWay && countedCrashes().count() + undecided >= CRASHES_TO_SUSPECT;
    boolean waits = besideAnother || status == QuarantineStatus.SUSPECTED && undecided > 0;
    return waits ? QuarantineStatus.QUARANTINED : status;
  }

  /** Connections that broke just now, of engines that may live. */
  private long undecided(long nowNanos) {
    return crashes.values().stream()
        .filter(crash -> !crash.engineGone && nowNanos - crash.atNanos < ALIVE_NANOS)
        .count();
  }

  /** To be called after each change of what speaks for or against it. */
  private void weigh() {
    status = weighed();
    heldBack |= status == QuarantineStatus.QUARANTINED;
    matters |= crashes.size() >= CRASHES_TO_SUSPECT || confirmed();
  }

  private QuarantineStatus weighed() {
    if (confirmed()) {
      return QuarantineStatus.QUARANTINED;
    }
    List<Long> counted = countedCrashes().map(crash -> crash.getValue().atNanos).toList();
    if (counted.size() >= CRASHES_TO_QUARANTINE && apart(counted)) {
      return QuarantineStatus.QUARANTINED;
    }
    return counted.size() >= CRASHES_TO_SUSPECT
        ? QuarantineStatus.SUSPECTED
        : QuarantineStatus.CLEAR;
  }

  private Stream<Map.Entry<String, Crash>> countedCrashes() {
    return sureCrashes().filter(crash -> !explained.contains(crash.getKey()));
  }

  private boolean confirmed() {
    return confirmedNanos.isPresent();
  }

  private static boolean apart(List<Long> times) {
    long first = times.get(0);
    long least = 0;
    long most = 0;
    for (long at : times) {
      least = Math.min(least, at - first);
      most = Math.max(most, at - first);
    }
    return most - least >= ONE_CAUSE_NANOS;
  }

  /** Engines that are gone since they seemed to crash under it. */
  List<String> engines() {
    return sureCrashes().map(Map.Entry::getKey).toList();
  }

  private Stream<Map.Entry<String, Crash>> sureCrashes() {
    return crashes.entrySet().stream().filter(crash -> crash.getValue().engineGone);
  }

  int crashCount() {
    return (int) sureCrashes().count();
  }

  /** Whether anything is known that others should hear. */
  boolean says() {
    return confirmed() || goodNanos.isPresent() || !crashes.isEmpty();
  }

  boolean stored() {
    return storedNanos.isPresent();
  }

  long askedNanos() {
    return askedNanos;
  }

  /** Whether this was news. */
  boolean onCrash(String engineId, long atNanos, boolean own, boolean engineGone, long nowNanos) {
    Crash known = crashes.get(engineId);
    if (known == null ? goodSince(atNanos) : known.engineGone || !engineGone) {
      return false;
    }
    if (known == null) {
      crashes.put(engineId, new Crash(atNanos, own, engineGone));
    } else {
      known.engineGone = true;
    }
    changedNanos = nowNanos;
    if (own) {
      seenHereNanos = nowNanos;
    }
    weigh();
    return true;
  }

  /** The engine is gone. Whether this was news. */
  boolean onGone(String engineId, long nowNanos) {
    Crash known = crashes.get(engineId);
    return known != null && onCrash(engineId, known.atNanos, known.own, true, nowNanos);
  }

  /** Whether nothing has changed since a time, and nothing will by itself. */
  boolean restsSince(long nanos) {
    return status != QuarantineStatus.QUARANTINED && changedNanos - nanos < 0 && unsure().isEmpty();
  }

  /** Engines that only seem to have crashed, as far as is known. */
  List<String> unsure() {
    return crashes.entrySet().stream()
        .filter(crash -> !crash.getValue().engineGone)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Engines that should be asked now whether they live. One broken connection is not worth a
   * question; with two engines it is, to the node that saw one of them.
   */
  List<String> takeProbes(long nowNanos) {
    if (crashes.size() < CRASHES_TO_SUSPECT || crashes.values().stream().noneMatch(c -> c.own)) {
      return List.of();
    }
    return crashes.entrySet().stream()
        .filter(crash -> crash.getValue().takeProbeDue(nowNanos))
        .map(Map.Entry::getKey)
        .toList();
  }

  private boolean goodSince(long nanos) {
    return goodNanos.isPresent() && goodNanos.getAsLong() - nanos >= 0;
  }

  /** It was answered well. Whether this was news. */
  boolean onSuccess(long atNanos, long nowNanos) {
    if (goodSince(atNanos)) {
      return false;
    }
    goodNanos = OptionalLong.of(atNanos);
    boolean voids = crashes.values().removeIf(crash -> goodSince(crash.atNanos));
    if (confirmed() && goodSince(confirmedNanos.getAsLong())) {
      confirmedNanos = OptionalLong.empty();
      voids = true;
    }
    if (voids) {
      changedNanos = nowNanos;
      weigh();
    }
    return voids;
  }

  /** Somebody sent it. */
  void onAsked(long atNanos) {
    if (atNanos - askedNanos > 0) {
      askedNanos = atNanos;
    }
  }

  /** It stays in quarantine for what was known at a moment. Whether this was news. */
  boolean confirm(long atNanos, long nowNanos) {
    if (confirmed() || goodSince(atNanos)) {
      return false;
    }
    confirmedNanos = OptionalLong.of(atNanos);
    changedNanos = nowNanos;
    weigh();
    return true;
  }

  /** Nobody has asked for it for so long that it may have changed what engines make of it. */
  void lapse() {
    crashes.clear();
    confirmedNanos = OptionalLong.empty();
    goodNanos = OptionalLong.empty();
    weigh();
  }

  /** The store holds it. */
  void onStored(long nowNanos) {
    storedNanos = OptionalLong.of(nowNanos);
    storeDueNanos = OptionalLong.empty();
  }

  void onRemovedFromStore() {
    storedNanos = OptionalLong.empty();
    heldBack = false;
    storedEngines = Set.of();
  }

  /** The store holds it as under suspicion. */
  void onSuspicionStored(Set<String> engines) {
    storedEngines = Set.copyOf(engines);
  }

  /**
   * Whether the store holds what no longer speaks against it. A node that has only been told of the
   * row, and not yet of enough else to hold it back, leaves it there.
   */
  boolean storedInVain() {
    if (status() == QuarantineStatus.CLEAR) {
      return stored() || !storedEngines.isEmpty();
    }
    return stored() && heldBack && status() != QuarantineStatus.QUARANTINED;
  }

  /**
   * Engines that crashed under it while it is under suspicion and that the store should hold, where
   * this node saw the last of them; then not again until there are others.
   */
  Optional<Set<String>> takeSuspicionDue() {
    if (status() != QuarantineStatus.SUSPECTED || seenHereNanos != changedNanos) {
      return Optional.empty();
    }
    Set<String> engines = countedEngines();
    if (storedEngines.containsAll(engines)) {
      return Optional.empty();
    }
    storedEngines = engines;
    return Optional.of(engines);
  }

  private Set<String> countedEngines() {
    return countedCrashes().map(Map.Entry::getKey).collect(Collectors.toUnmodifiableSet());
  }

  /** Takes away the crashes of engines that were heard later; whether there were any. */
  boolean forgive(Function<String, OptionalLong> lastHeard) {
    boolean forgiven =
        !confirmed()
            && crashes
                .entrySet()
                .removeIf(
                    crash -> livesAfter(lastHeard.apply(crash.getKey()), crash.getValue().atNanos));
    if (forgiven) {
      weigh();
    }
    return forgiven;
  }

  private static boolean livesAfter(OptionalLong heardNanos, long crashNanos) {
    return heardNanos.isPresent() && heardNanos.getAsLong() - crashNanos > ALIVE_NANOS;
  }

  /**
   * Crashes that a content in quarantine with more crashes explains do not count here. Whether its
   * status is another now.
   */
  boolean setCulprits(List<Suspect> culprits) {
    QuarantineStatus before = status;
    explained.clear();
    for (Suspect culprit : culprits) {
      if (culprit.crashCount() > crashCount()) {
        explained.addAll(culprit.engines());
      }
    }
    weigh();
    return status != before;
  }

  void confirmWhenSettled(long nowNanos) {
    if (!confirmed() && status() == QuarantineStatus.QUARANTINED) {
      long newest = newestCrash();
      if (nowNanos - newest >= CONFIRM_NANOS) {
        confirm(newest, nowNanos);
      }
    }
  }

  private long newestCrash() {
    return sureCrashes()
        .map(crash -> crash.getValue().atNanos)
        .reduce((a, b) -> a - b > 0 ? a : b)
        .orElseThrow();
  }

  /** What is thought of it, when that has changed since the last call. */
  boolean takeChange() {
    boolean changed = noticed != status();
    noticed = status();
    return changed;
  }

  /** The store should be asked at once to hold it, should it be in quarantine. */
  void storeAtOnce(long nowNanos) {
    if (status() == QuarantineStatus.QUARANTINED && !stored()) {
      storeDueNanos = OptionalLong.of(nowNanos);
    }
  }

  /** Whether the store should be asked now to hold it; then not again for a while. */
  boolean takeStoreDue(long firstPauseNanos, long pauseNanos, long nowNanos) {
    if (status() != QuarantineStatus.QUARANTINED || storeHoldsIt(nowNanos)) {
      return false;
    }
    if (storeDueNanos.isEmpty()) {
      storeDueNanos = OptionalLong.of(nowNanos + firstPauseNanos);
    }
    if (nowNanos - storeDueNanos.getAsLong() < 0) {
      return false;
    }
    storeDueNanos = OptionalLong.of(nowNanos + pauseNanos);
    return true;
  }

  /** What was asked for since it was written is to be written again before it lapses there. */
  private boolean storeHoldsIt(long nowNanos) {
    if (storedNanos.isEmpty()) {
      return false;
    }
    long written = storedNanos.getAsLong();
    return askedNanos - written <= 0 || nowNanos - written < RENEW_NANOS;
  }

  /**
   * Whether it is, or was, more than one broken connection, of which a fleet sees many a second.
   */
  boolean matters() {
    return matters;
  }

  /**
   * Whether others should hear of it now: for a while after each change, else now and then.
   *
   * @param passesOn whether others hear what this node was told only from it
   */
  boolean takeTellDue(long whileNanos, long pauseNanos, boolean passesOn, long nowNanos) {
    long sinceNanos = matters() || passesOn ? changedNanos : seenHereNanos;
    boolean fresh = nowNanos - sinceNanos < whileNanos;
    boolean again = status() == QuarantineStatus.QUARANTINED && nowNanos - toldNanos >= pauseNanos;
    if (fresh || again) {
      toldNanos = nowNanos;
    }
    return fresh || again;
  }

  /** When others were told of it last. */
  long toldNanos() {
    return toldNanos;
  }

  CrashReport report(long nowNanos) {
    List<SeenCrash> seen = new ArrayList<>();
    crashes.forEach(
        (engine, crash) ->
            seen.add(new SeenCrash(engine, millis(nowNanos - crash.atNanos), crash.engineGone)));
    return new CrashReport(
        content,
        age(confirmedNanos, nowNanos),
        stored(),
        millis(nowNanos - askedNanos),
        age(goodNanos, nowNanos),
        seen);
  }

  private static long age(OptionalLong nanos, long nowNanos) {
    return nanos.isPresent() ? millis(nowNanos - nanos.getAsLong()) : CrashReport.NEVER;
  }

  private static long millis(long nanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos));
  }
}
