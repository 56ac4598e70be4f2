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
 * The evidence for and against one request content, or one part of a prompt.
 *
 * <p>Invariant: a crash before the last successful answer does not count, since a content that
 * crashes every engine is never answered successfully. For a part, this extends to the crashes some
 * time after that answer. One thread calls.
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
   * than are tolerated. A part waits like this only after an engine with few others seemed to crash
   * under it, since many sound requests may share it.
   *
   * @param inFlight whether this node has sent a copy whose request has not ended
   */
  QuarantineStatus statusForSend(boolean inFlight, long nowNanos) {
    if (status == QuarantineStatus.QUARANTINED) {
      return status;
    }
    if (!waits(inFlight, nowNanos)) {
      return status;
    }
    return content.isPart() ? QuarantineStatus.ON_TRIAL : QuarantineStatus.QUARANTINED;
  }

  /** Returns whether nothing is sent until a copy in flight, or a crash, is decided. */
  boolean waits(boolean inFlight, long nowNanos) {
    long undecidedCrashes = undecidedCrashes(nowNanos);
    boolean otherCopyInFlight =
        inFlight && countedCrashes().count() + undecidedCrashes >= CRASHES_TO_SUSPECT;
    if (content.isPart()) {
      return hasCrashedAlone() && (otherCopyInFlight || undecidedCrashes > 0);
    }
    return otherCopyInFlight || status == QuarantineStatus.SUSPECTED && undecidedCrashes > 0;
  }

  /** Returns whether an engine with few other requests seemed to crash. */
  private boolean hasCrashedAlone() {
    return crashes.values().stream().anyMatch(crash -> crash.alone());
  }

  /**
   * Returns whether another suspect may have caused all crashes that speak against this one: it was
   * at all of these engines, but for fewer than convict anyone, and for none with few other
   * requests.
   */
  boolean mayBeExplainedBy(Suspect other) {
    boolean convictable =
        other.crashCount() >= CRASHES_TO_QUARANTINE
            || other.status() == QuarantineStatus.QUARANTINED;
    if (crashCount() == 0 || !convictable) {
      return false;
    }
    List<Map.Entry<String, Crash>> unexplained =
        certainCrashes().filter(crash -> !other.hasCrashed(crash.getKey())).toList();
    return unexplained.size() < CRASHES_TO_QUARANTINE
        && unexplained.stream().noneMatch(crash -> crash.getValue().alone());
  }

  private boolean hasCrashed(String engineId) {
    Crash crash = crashes.get(engineId);
    return crash != null && crash.engineGone();
  }

  /** The number of connections that broke just now, to engines that may still be alive. */
  private long undecidedCrashes(long nowNanos) {
    return crashes.values().stream()
        .filter(crash -> !crash.engineGone() && nowNanos - crash.atNanos() < ALIVE_NANOS)
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
    List<Crash> counted = countedCrashes().map(Map.Entry::getValue).toList();
    if (counted.size() >= CRASHES_TO_QUARANTINE
        && Crash.areSpreadInTime(counted)
        && isProven(counted)) {
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

  /**
   * Returns whether crashes suffice as proof. A part that many requests share is at most engines,
   * so it is in every crash, whatever caused it: it must have crashed an engine with few others.
   */
  private boolean isProven(List<Crash> counted) {
    return !content.isPart() || counted.stream().anyMatch(crash -> crash.alone());
  }

  /** The ids of engines that seemed to crash under the content and are gone since. */
  List<String> engines() {
    return certainCrashes().map(Map.Entry::getKey).toList();
  }

  private Stream<Map.Entry<String, Crash>> certainCrashes() {
    return crashes.entrySet().stream().filter(crash -> crash.getValue().engineGone());
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
   * @param seen the engine, and what is known of its end
   * @param atNanos time in ns of the crash
   * @param seenHere whether this node saw it
   * @return whether this is new evidence
   */
  boolean onCrash(SeenCrash seen, long atNanos, boolean seenHere, long nowNanos) {
    Crash known = crashes.get(seen.engineId());
    if (known == null ? succeededSince(atNanos) : known.engineGone() || !seen.engineGone()) {
      return false;
    }
    if (known == null) {
      crashes.put(seen.engineId(), new Crash(seen, atNanos, seenHere));
    } else {
      known.setEngineGone();
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
    return known != null
        && onCrash(
            new SeenCrash(engineId, 0, true, known.alone()),
            known.atNanos(),
            known.seenHere(),
            nowNanos);
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
        .filter(crash -> !crash.getValue().engineGone())
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * The ids of engines that should be probed now for signs of life. One broken connection does not
   * justify a probe. With two, the node that saw one of them probes.
   */
  List<String> takeProbes(long nowNanos) {
    if (crashes.size() < CRASHES_TO_SUSPECT
        || crashes.values().stream().noneMatch(c -> c.seenHere())) {
      return List.of();
    }
    return crashes.entrySet().stream()
        .filter(crash -> crash.getValue().takeProbeDue(nowNanos))
        .map(Map.Entry::getKey)
        .toList();
  }

  private boolean succeededSince(long nanos) {
    return succeededNanos.isPresent()
        && succeededNanos.getAsLong() + content.kind().clearedNanos() - nanos >= 0;
  }

  /**
   * Handles a successful answer.
   *
   * @return whether it voids any evidence
   */
  boolean onSuccess(long atNanos, long nowNanos) {
    if (succeededNanos.isPresent() && succeededNanos.getAsLong() - atNanos >= 0) {
      return false;
    }
    succeededNanos = OptionalLong.of(atNanos);
    boolean evidenceVoided = crashes.values().removeIf(crash -> succeededSince(crash.atNanos()));
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

  /** Handles that this node knows of an answer that clears the suspect; other nodes hear of it. */
  void onAcquittedHere(long nowNanos) {
    seenHereNanos = nowNanos;
  }

  /** Returns whether any engine seems to have crashed under it. */
  boolean hasSeemedToCrash() {
    return !crashes.isEmpty();
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
   * The ids of engines that crashed under the content, if it is not clear and this node, having
   * seen the last crash, should write them to the store. Returns them again only when there are
   * others. In quarantine they still matter: they tell parts of prompts apart from others that came
   * with them.
   */
  Optional<Set<String>> takeSuspicionDue() {
    if (status() == QuarantineStatus.CLEAR || seenHereNanos != changedNanos) {
      return Optional.empty();
    }
    Set<String> engines = provingEngines();
    if (storedEngines.containsAll(engines)) {
      return Optional.empty();
    }
    storedEngines = engines;
    return Optional.of(engines);
  }

  /** The ids of engines whose crashes count; for a part, of those with few other requests. */
  private Set<String> provingEngines() {
    return countedCrashes()
        .filter(crash -> !content.isPart() || crash.getValue().alone())
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
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
                        isAliveAfter(lastHeard.apply(crash.getKey()), crash.getValue().atNanos()));
    if (removed) {
      updateStatus();
    }
    return removed;
  }

  /** Returns whether an engine was heard so late that it had not crashed at a time. */
  static boolean isAliveAfter(OptionalLong heardNanos, long crashNanos) {
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
        .map(crash -> crash.getValue().atNanos())
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
            seen.add(
                new SeenCrash(
                    engine,
                    millis(nowNanos - crash.atNanos()),
                    crash.engineGone(),
                    crash.alone())));
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
