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
 * The evidence for and against one request content.
 *
 * <p>Invariant: a crash before the last successful answer does not count, since a content that
 * crashes every engine is never answered successfully. One thread calls.
 */
final class Suspect {

  /**
   * The bound that the operators set: a content under which so many engines crashed is no longer
   * sent.
   */
  private static final int CRASHES_TO_QUARANTINE = 3;

  /**
   * One crash may be chance; a second one under the same content seldom is, since only one in many
   * engines crashes within a second.
   */
  private static final int CRASHES_TO_SUSPECT = 2;

  /**
   * Crashes within this time have one cause. The engines of a rack go down within a few ms when it
   * loses power. The crashes of one content are apart by the time that it takes to send and begin
   * it, some 100 ms between the first and the third.
   */
  private static final long ONE_CAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * An engine that is heard more than this time after it seemed to crash has not crashed. What it
   * sent before can arrive late, but less late than this: 25 ms until it is noticed, and 250 ms
   * until other nodes have reported it.
   */
  private static final long ALIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * The time after which a quarantine is confirmed and holds whatever is heard later: twice the
   * time to hear a sign of life.
   */
  private static final long CONFIRM_NANOS = 2 * ALIVE_NANOS;

  /**
   * How often the store entry of a content that callers still request is renewed, well before it
   * expires there.
   */
  private static final long RENEW_NANOS =
      TimeUnit.MILLISECONDS.toNanos(Quarantine.LIFETIME_MILLIS / 3);

  /** An engine that answers its first probes is alive; its connection broke for another reason. */
  private static final int MAX_PROBES = 3;

  /** The time after which an unanswered probe is repeated: some round trips to an engine. */
  private static final long PROBE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Longer than any change is reported. */
  private static final long LONG_AGO_NANOS = TimeUnit.HOURS.toNanos(1);

  private final RequestFingerprint content;
  private final Map<String, Crash> crashes = new HashMap<>();
  private final Set<String> explainedEngines = new HashSet<>();
  private OptionalLong succeededNanos = OptionalLong.empty();
  private OptionalLong confirmedNanos = OptionalLong.empty();
  private OptionalLong storedNanos = OptionalLong.empty();
  private OptionalLong storeDueNanos = OptionalLong.empty();
  private Set<String> storedEngines = Set.of();
  private long askedNanos;
  private long changedNanos;
  private long seenHereNanos;
  private long reportedNanos;
  private QuarantineStatus status = QuarantineStatus.CLEAR;
  private boolean significant;
  private boolean wasQuarantined;
  private QuarantineStatus announcedStatus = QuarantineStatus.CLEAR;

  /** An engine that seemed to crash. */
  private static final class Crash {

    private final long atNanos;
    private final boolean seenHere;
    private boolean engineGone;
    private int probes;
    private long probedNanos;

    Crash(long atNanos, boolean seenHere, boolean engineGone) {
      this.atNanos = atNanos;
      this.seenHere = seenHere;
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
    this.reportedNanos = nowNanos;
  }

  RequestFingerprint content() {
    return content;
  }

  QuarantineStatus status() {
    return status;
  }

  /**
   * The status that applies if the content is to be sent now. Once engines seem to have crashed
   * under it, this node sends one copy at a time, and none while it is suspected until it is known
   * whether the last copy crashed its engine. Otherwise copies in flight would crash more engines
   * than are tolerated.
   *
   * @param inFlight whether this node has sent a copy whose request has not ended
   */
  QuarantineStatus statusForSend(boolean inFlight, long nowNanos) {
    long undecidedCrashes = undecidedCrashes(nowNanos);
    boolean otherCopyInFlight =
        inFlight && countedCrashes().count() + undecidedCrashes >= CRASHES_TO_SUSPECT;
    boolean waits =
        otherCopyInFlight || status == QuarantineStatus.SUSPECTED && undecidedCrashes > 0;
    return waits ? QuarantineStatus.QUARANTINED : status;
  }

  /** The number of connections that broke just now, to engines that may still be alive. */
  private long undecidedCrashes(long nowNanos) {
    return crashes.values().stream()
        .filter(crash -> !crash.engineGone && nowNanos - crash.atNanos < ALIVE_NANOS)
        .count();
  }

  /** Updates the status. Must be called after each change of the evidence. */
  private void updateStatus() {
    status = computeStatus();
    wasQuarantined |= status == QuarantineStatus.QUARANTINED;
    significant |= crashes.size() >= CRASHES_TO_SUSPECT || confirmed();
  }

  private QuarantineStatus computeStatus() {
    if (confirmed()) {
      return QuarantineStatus.QUARANTINED;
    }
    List<Long> counted = countedCrashes().map(crash -> crash.getValue().atNanos).toList();
    if (counted.size() >= CRASHES_TO_QUARANTINE && areSpreadInTime(counted)) {
      return QuarantineStatus.QUARANTINED;
    }
    return counted.size() >= CRASHES_TO_SUSPECT
        ? QuarantineStatus.SUSPECTED
        : QuarantineStatus.CLEAR;
  }

  private Stream<Map.Entry<String, Crash>> countedCrashes() {
    return certainCrashes().filter(crash -> !explainedEngines.contains(crash.getKey()));
  }

  private boolean confirmed() {
    return confirmedNanos.isPresent();
  }

  private static boolean areSpreadInTime(List<Long> times) {
    long first = times.get(0);
    long least = 0;
    long most = 0;
    for (long at : times) {
      least = Math.min(least, at - first);
      most = Math.max(most, at - first);
    }
    return most - least >= ONE_CAUSE_NANOS;
  }

  /** The ids of engines that seemed to crash under the content and are gone since. */
  List<String> engines() {
    return certainCrashes().map(Map.Entry::getKey).toList();
  }

  private Stream<Map.Entry<String, Crash>> certainCrashes() {
    return crashes.entrySet().stream().filter(crash -> crash.getValue().engineGone);
  }

  int crashCount() {
    return (int) certainCrashes().count();
  }

  /** Returns whether there is any evidence that other nodes should hear of. */
  boolean hasEvidence() {
    return confirmed() || succeededNanos.isPresent() || !crashes.isEmpty();
  }

  boolean stored() {
    return storedNanos.isPresent();
  }

  long askedNanos() {
    return askedNanos;
  }

  /**
   * Handles a crash, real or apparent.
   *
   * @param seenHere whether this node saw it
   * @param engineGone whether the engine was found to be gone
   * @return whether this is new evidence
   */
  boolean onCrash(
      String engineId, long atNanos, boolean seenHere, boolean engineGone, long nowNanos) {
    Crash known = crashes.get(engineId);
    if (known == null ? succeededSince(atNanos) : known.engineGone || !engineGone) {
      return false;
    }
    if (known == null) {
      crashes.put(engineId, new Crash(atNanos, seenHere, engineGone));
    } else {
      known.engineGone = true;
    }
    changedNanos = nowNanos;
    if (seenHere) {
      seenHereNanos = nowNanos;
    }
    updateStatus();
    return true;
  }

  /**
   * Handles that an engine is gone.
   *
   * @return whether this is new evidence
   */
  boolean onGone(String engineId, long nowNanos) {
    Crash known = crashes.get(engineId);
    return known != null && onCrash(engineId, known.atNanos, known.seenHere, true, nowNanos);
  }

  /**
   * Returns whether nothing has changed since the given time, and nothing will change with time.
   */
  boolean isIdleSince(long nanos) {
    return status != QuarantineStatus.QUARANTINED
        && changedNanos - nanos < 0
        && undecidedEngines().isEmpty();
  }

  /** The ids of engines that, as far as is known, only seem to have crashed. */
  List<String> undecidedEngines() {
    return crashes.entrySet().stream()
        .filter(crash -> !crash.getValue().engineGone)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * The ids of engines that should be probed now for signs of life. One broken connection does not
   * justify a probe. With two, the node that saw one of them probes.
   */
  List<String> takeProbes(long nowNanos) {
    if (crashes.size() < CRASHES_TO_SUSPECT
        || crashes.values().stream().noneMatch(c -> c.seenHere)) {
      return List.of();
    }
    return crashes.entrySet().stream()
        .filter(crash -> crash.getValue().takeProbeDue(nowNanos))
        .map(Map.Entry::getKey)
        .toList();
  }

  private boolean succeededSince(long nanos) {
    return succeededNanos.isPresent() && succeededNanos.getAsLong() - nanos >= 0;
  }

  /**
   * Handles a successful answer.
   *
   * @return whether it voids any evidence
   */
  boolean onSuccess(long atNanos, long nowNanos) {
    if (succeededSince(atNanos)) {
      return false;
    }
    succeededNanos = OptionalLong.of(atNanos);
    boolean evidenceVoided = crashes.values().removeIf(crash -> succeededSince(crash.atNanos));
    if (confirmed() && succeededSince(confirmedNanos.getAsLong())) {
      confirmedNanos = OptionalLong.empty();
      evidenceVoided = true;
    }
    if (evidenceVoided) {
      changedNanos = nowNanos;
      updateStatus();
    }
    return evidenceVoided;
  }

  /** Handles that a caller requested the content. */
  void onAsked(long atNanos) {
    if (atNanos - askedNanos > 0) {
      askedNanos = atNanos;
    }
  }

  /**
   * Confirms the quarantine by the evidence of a given time.
   *
   * @return whether this is new
   */
  boolean confirm(long atNanos, long nowNanos) {
    if (confirmed() || succeededSince(atNanos)) {
      return false;
    }
    confirmedNanos = OptionalLong.of(atNanos);
    changedNanos = nowNanos;
    updateStatus();
    return true;
  }

  /**
   * Removes all evidence: no caller has requested the content for so long that engines may handle
   * it by now.
   */
  void expire() {
    crashes.clear();
    confirmedNanos = OptionalLong.empty();
    succeededNanos = OptionalLong.empty();
    updateStatus();
  }

  /** Handles that the store holds the content. */
  void onStored(long nowNanos) {
    storedNanos = OptionalLong.of(nowNanos);
    storeDueNanos = OptionalLong.empty();
  }

  void onRemovedFromStore() {
    storedNanos = OptionalLong.empty();
    wasQuarantined = false;
    storedEngines = Set.of();
  }

  /** Handles that the store holds the content as suspected. */
  void onSuspicionStored(Set<String> engines) {
    storedEngines = Set.copyOf(engines);
  }

  /**
   * Returns whether the store holds an entry that the evidence no longer supports. A node that was
   * only told of the entry, and not yet of enough evidence to quarantine the content itself, leaves
   * the entry there.
   */
  boolean isStoredNeedlessly() {
    if (status() == QuarantineStatus.CLEAR) {
      return stored() || !storedEngines.isEmpty();
    }
    return stored() && wasQuarantined && status() != QuarantineStatus.QUARANTINED;
  }

  /**
   * The ids of engines that crashed under the content, if it is suspected and this node, having
   * seen the last crash, should write them to the store. Returns them again only when there are
   * others.
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

  /**
   * Removes the crashes of engines that were heard later.
   *
   * @return whether there were any
   */
  boolean removeCrashesOfLiveEngines(Function<String, OptionalLong> lastHeard) {
    boolean removed =
        !confirmed()
            && crashes
                .entrySet()
                .removeIf(
                    crash ->
                        isAliveAfter(lastHeard.apply(crash.getKey()), crash.getValue().atNanos));
    if (removed) {
      updateStatus();
    }
    return removed;
  }

  private static boolean isAliveAfter(OptionalLong heardNanos, long crashNanos) {
    return heardNanos.isPresent() && heardNanos.getAsLong() - crashNanos > ALIVE_NANOS;
  }

  /**
   * Sets the quarantined contents. Crashes that one of them with more crashes explains do not count
   * against this content.
   *
   * @return whether the status has changed
   */
  boolean explainBy(List<Suspect> quarantined) {
    QuarantineStatus before = status;
    explainedEngines.clear();
    for (Suspect other : quarantined) {
      if (other.crashCount() > crashCount()) {
        explainedEngines.addAll(other.engines());
      }
    }
    updateStatus();
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
    return certainCrashes()
        .map(crash -> crash.getValue().atNanos)
        .reduce((a, b) -> a - b > 0 ? a : b)
        .orElseThrow();
  }

  /** Returns whether the status has changed since the last call. */
  boolean takeChange() {
    boolean changed = announcedStatus != status();
    announcedStatus = status();
    return changed;
  }

  /** Makes the content due to be stored at once if it is in quarantine. */
  void requestStoreNow(long nowNanos) {
    if (status() == QuarantineStatus.QUARANTINED && !stored()) {
      storeDueNanos = OptionalLong.of(nowNanos);
    }
  }

  /**
   * Returns whether the content should be written to the store now.
   *
   * @param firstPauseNanos time in ns before the first attempt
   * @param pauseNanos time in ns between attempts
   */
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

  /**
   * Returns whether the store entry is recent enough. An entry must be renewed before it expires
   * there if the content has been requested since it was written.
   */
  private boolean storeHoldsIt(long nowNanos) {
    if (storedNanos.isEmpty()) {
      return false;
    }
    long written = storedNanos.getAsLong();
    return askedNanos - written <= 0 || nowNanos - written < RENEW_NANOS;
  }

  /**
   * Returns whether there is, or was, more evidence than one broken connection. A fleet sees many
   * of those each second.
   */
  boolean isSignificant() {
    return significant;
  }

  /**
   * Returns whether other nodes should hear of the content now: for a while after each change, and
   * now and then while it is in quarantine.
   *
   * @param periodNanos time in ns during which a change is reported
   * @param pauseNanos time in ns between repeated reports
   * @param reportsForOthers whether other nodes receive what this node was told only through this
   *     node
   */
  boolean takeReportDue(
      long periodNanos, long pauseNanos, boolean reportsForOthers, long nowNanos) {
    long sinceNanos = isSignificant() || reportsForOthers ? changedNanos : seenHereNanos;
    boolean fresh = nowNanos - sinceNanos < periodNanos;
    boolean again =
        status() == QuarantineStatus.QUARANTINED && nowNanos - reportedNanos >= pauseNanos;
    if (fresh || again) {
      reportedNanos = nowNanos;
    }
    return fresh || again;
  }

  /** The time in ns at which the content was last reported to others. */
  long reportedNanos() {
    return reportedNanos;
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
        age(succeededNanos, nowNanos),
        seen);
  }

  private static long age(OptionalLong nanos, long nowNanos) {
    return nanos.isPresent() ? millis(nowNanos - nanos.getAsLong()) : CrashReport.NEVER;
  }

  private static long millis(long nanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos));
  }
}
