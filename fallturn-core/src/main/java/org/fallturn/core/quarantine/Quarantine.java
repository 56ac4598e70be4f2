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
import java.util.stream.Stream;
import org.fallturn.core.membership.RendezvousHash;

/**
 * Tracks the request contents, and the parts of prompts, under which engines have crashed, as seen
 * by this node and others, and decides which of them are no longer sent.
 *
 * <p>A content is clear until two engines have crashed under it; then it is suspected, and with the
 * third crash it goes into quarantine. A broken connection counts as a crash only once the engine
 * is found to be gone. A content is released by one successful answer, by signs of life from
 * engines that only seemed to crash, or once no caller has requested it for {@link
 * #LIFETIME_MILLIS}. A crash also ends all other requests at the engine. Therefore a crash that a
 * quarantined content explains does not count against a content with fewer crashes.
 *
 * <p>The same evidence is kept for each part of a prompt that requests may share, since one part
 * may crash engines in requests that are all different. Sound requests share most of these parts.
 * Four things tell them apart: a part that was answered lately is not suspected; one is held back
 * only after it has crashed an engine with few other requests; a request that lacks a part which
 * may explain the crashes as well is sent, alone, and its outcome decides; any answer releases the
 * parts that it had.
 *
 * <p>Invariant: at most {@link SuspectIndex#MAX_SUSPECTS} contents and parts are kept, and those
 * with the most crashes stay. Performs no I/O; one thread calls.
 */
public final class Quarantine {

  /**
   * How long a content is remembered that no caller requests. The operators replace engines by
   * newer versions, which may withstand the content, over hours, while callers retry within
   * seconds.
   */
  public static final long LIFETIME_MILLIS = TimeUnit.MINUTES.toMillis(30);

  /**
   * The most contents in one message, some 100 bytes each, so that the message stays within a few
   * KB.
   */
  private static final int MAX_REPORTS = 24;

  /**
   * How long a change is reported, in each round of 100 ms, since messages may be lost. Only
   * evidence beyond a single broken connection is reported at once.
   */
  private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * How often quarantined contents are reported again, for nodes that missed a report or have just
   * started.
   */
  private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * The node that saw the last crash writes to the store at once. Another node writes after this
   * time if that node has not.
   */
  private static final long BACKUP_STORE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long STORE_SPREAD_MILLIS = 2_000;
  private static final long STORE_RETRY_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Longer than a change is reported, and than a report of an engine's last sign of life takes. */
  private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final long EXPIRY_CHECK_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final String node;
  private final SuspectIndex suspects = new SuspectIndex();

  /**
   * Suspects that may change with time or are due to be reported. Most suspects have a single known
   * crash and are not in this set, so that ticks and messages do not have to visit them.
   */
  private final Set<Suspect> active = new LinkedHashSet<>();

  private final AnsweredParts answeredParts = new AnsweredParts();
  private final UnconfirmedAnswers unconfirmedAnswers = new UnconfirmedAnswers();

  /**
   * Contents that this node has sent and whose requests have not ended, by request. They show
   * whether a copy of a content is in flight.
   */
  private final Map<Object, RequestContent> sent = new HashMap<>();

  private final List<QuarantineStatusChange> changes = new ArrayList<>();
  private final List<RequestFingerprint> released = new ArrayList<>();
  private final List<Suspect> quarantinedSuspects = new ArrayList<>();
  private boolean explanationsCurrent = true;
  private long expiryCheckedNanos;
  private boolean urgentChange;

  /**
   * Creates a quarantine without contents.
   *
   * @param node name of this node
   */
  public Quarantine(String node) {
    this.node = node;
  }

  /** The status of a content that is about to be sent for the first time. */
  public QuarantineStatus status(RequestContent content, long nowNanos) {
    return status(content, false, nowNanos);
  }

  /**
   * The status of a content that is about to be sent: that of its worst trait.
   *
   * @param mayHaveCrashed whether an engine that had this request may have crashed under it
   */
  public QuarantineStatus status(RequestContent content, boolean mayHaveCrashed, long nowNanos) {
    QuarantineStatus worst = QuarantineStatus.CLEAR;
    for (Suspect suspect : suspects.in(content)) {
      suspect.onAsked(nowNanos);
      QuarantineStatus status = status(suspect, content, mayHaveCrashed, nowNanos);
      worst = status.compareTo(worst) > 0 ? status : worst;
    }
    return worst;
  }

  private QuarantineStatus status(
      Suspect suspect, RequestContent content, boolean mayHaveCrashed, long nowNanos) {
    boolean inFlight = sent.values().stream().anyMatch(copy -> copy.has(suspect.content()));
    QuarantineStatus status = suspect.statusForSend(inFlight, nowNanos);
    if (suspect.status() == QuarantineStatus.QUARANTINED && !isHeldBack(suspect, content)) {
      return suspect.waits(inFlight, nowNanos)
          ? QuarantineStatus.ON_TRIAL
          : QuarantineStatus.SUSPECTED;
    }
    boolean mayBeCulprit =
        mayHaveCrashed && suspect.content().isPart() && suspect.hasSeemedToCrash();
    return status == QuarantineStatus.CLEAR && mayBeCulprit ? QuarantineStatus.SUSPECTED : status;
  }

  /** Returns whether no node may send the content, whatever runs at present. */
  public boolean isHeldBack(RequestContent content) {
    return suspects.in(content).stream().anyMatch(suspect -> isHeldBack(suspect, content));
  }

  /**
   * Returns whether a suspect prevents that a content is sent. A part does not while something that
   * the content lacks may have caused the same crashes: sending it without the other decides which
   * of them it was.
   */
  private boolean isHeldBack(Suspect suspect, RequestContent content) {
    if (suspect.status() != QuarantineStatus.QUARANTINED) {
      return false;
    }
    return !suspect.content().isPart()
        || suspects.explaining(suspect).allMatch(other -> content.has(other.content()));
  }

  /**
   * The shared parts for which a content is held back, for messages to people; none if the whole
   * content is in quarantine itself.
   */
  public List<SharedPart> quarantinedParts(RequestContent content) {
    List<SharedPart> found = new ArrayList<>();
    if (suspects.in(content).stream()
        .anyMatch(suspect -> !suspect.content().isPart() && isHeldBack(suspect, content))) {
      return found;
    }
    for (int index = 0; index < content.sharedParts().size(); index++) {
      Suspect suspect = suspects.findPart(content, index);
      if (suspect != null && suspect.status() == QuarantineStatus.QUARANTINED) {
        found.add(content.sharedParts().get(index));
      }
    }
    return found;
  }

  /**
   * Handles that this node sends a content to an engine.
   *
   * @param request stands for the request until it ends; no id of a caller, which may come twice
   */
  public void onSent(RequestContent content, Object request) {
    sent.put(request, content);
  }

  /** Handles that a request has ended, with whatever outcome. */
  public void onEnded(Object request) {
    sent.remove(request);
  }

  /**
   * Handles that an engine's connection broke while the engine ran the content beside others: it
   * may have crashed.
   */
  public void onCrash(RequestContent content, String engineId, long nowNanos) {
    onCrash(content, engineId, BrokenAttempt.RUN, nowNanos);
  }

  /**
   * Handles that an engine's connection broke while the engine had the content: it may have
   * crashed.
   */
  public void onCrash(
      RequestContent content, String engineId, BrokenAttempt attempt, long nowNanos) {
    SeenCrash seen = new SeenCrash(engineId, 0, false, attempt.alone());
    onCrash(content.fingerprint(), seen, nowNanos);
    if (attempt.accusesParts()) {
      content.partFingerprints().stream()
          .filter(part -> !answeredParts.isCleared(part, nowNanos))
          .forEach(part -> onCrash(part, seen, nowNanos));
    }
  }

  private void onCrash(RequestFingerprint content, SeenCrash seen, long nowNanos) {
    Suspect suspect = suspect(content, nowNanos, nowNanos);
    suspect.onAsked(nowNanos);
    if (suspect.onCrash(seen, nowNanos, true, nowNanos)) {
      onNewEvidence(suspect);
    }
    dropWithoutEvidence(suspect);
  }

  /**
   * Handles that an engine is found to be gone. This counts as a crash for every content under
   * which the engine seemed to crash.
   */
  public void onEngineGone(String engineId, long nowNanos) {
    unconfirmedAnswers
        .takeOf(engineId)
        .forEach(answer -> onCrash(answer.content(), engineId, answer.attempt(), nowNanos));
    for (Suspect suspect : suspects.all()) {
      if (suspect.onGone(engineId, nowNanos)) {
        onNewEvidence(suspect);
        recordStatusChange(suspect);
        suspect.requestStoreNow(nowNanos);
      }
    }
  }

  /**
   * Handles a change of the engine directory.
   *
   * @param listed tells whether an engine id is in the directory
   */
  public void onDirectory(Predicate<String> listed, long nowNanos) {
    Stream.concat(
            active.stream().flatMap(suspect -> suspect.undecidedEngines().stream()),
            unconfirmedAnswers.engines().stream())
        .filter(listed.negate())
        .distinct()
        .toList()
        .forEach(engineId -> onEngineGone(engineId, nowNanos));
  }

  /** The ids of engines that should be probed now for signs of life. */
  public Set<String> takeProbes(long nowNanos) {
    Set<String> due = new HashSet<>();
    active.forEach(suspect -> due.addAll(suspect.takeProbes(nowNanos)));
    return due;
  }

  private void onNewEvidence(Suspect suspect) {
    active.add(suspect);
    urgentChange |= suspect.isSignificant();
    explanationsCurrent = false;
    suspect.explainBy(quarantinedSuspects);
  }

  /**
   * Recomputes which crashes are explained, from the content with the most crashes to the one with
   * the fewest. Runs at ticks only, since one crash ends many requests at once.
   */
  private void updateExplanations() {
    List<Suspect> ordered = new ArrayList<>(suspects.all());
    ordered.sort(Comparator.comparing(Suspect::crashCount).reversed());
    quarantinedSuspects.clear();
    for (Suspect suspect : ordered) {
      if (suspect.explainBy(quarantinedSuspects)) {
        active.add(suspect);
      }
      if (suspect.status() == QuarantineStatus.QUARANTINED) {
        quarantinedSuspects.add(suspect);
      }
    }
  }

  /** Handles that an engine answered the content successfully. */
  public void onSuccess(RequestContent content, long nowNanos) {
    onSuccess(content, nowNanos, nowNanos);
  }

  private void onSuccess(RequestContent content, long answeredNanos, long nowNanos) {
    List<Suspect> cleared = suspects.in(content);
    content.partFingerprints().forEach(part -> answeredParts.onAnswered(part, answeredNanos));
    cleared.forEach(suspect -> onSuccess(suspect, answeredNanos, nowNanos));
  }

  /**
   * Handles that an engine's answer ended with its connection and nothing else told its end: it may
   * have been cut off by a crash.
   */
  public void onUnconfirmedSuccess(
      RequestContent content, String engineId, BrokenAttempt attempt, long nowNanos) {
    unconfirmedAnswers.add(
        new UnconfirmedAnswers.UnconfirmedAnswer(content, engineId, attempt, nowNanos));
  }

  private void onSuccess(Suspect suspect, long answeredNanos, long nowNanos) {
    if (!suspect.isSignificant()) {
      drop(suspect);
    } else if (suspect.onSuccess(answeredNanos, nowNanos)) {
      suspect.onAcquittedHere(nowNanos);
      active.add(suspect);
      urgentChange = true;
      recordStatusChange(suspect);
      release(suspect);
    }
  }

  private void release(Suspect suspect) {
    if (suspect.isStoredNeedlessly()) {
      suspect.onRemovedFromStore();
      released.add(suspect.content());
    }
  }

  /** Handles the report of another node. */
  public void onPeerReport(CrashReport report, long nowNanos) {
    if (report.askedAgoMillis() > LIFETIME_MILLIS) {
      return;
    }
    long askedNanos = at(report.askedAgoMillis(), nowNanos);
    Suspect suspect = suspect(report.content(), askedNanos, nowNanos);
    suspect.onAsked(askedNanos);
    boolean evidenceIsNew = false;
    if (report.goodAgoMillis() != CrashReport.NEVER) {
      evidenceIsNew = suspect.onSuccess(at(report.goodAgoMillis(), nowNanos), nowNanos);
    }
    for (SeenCrash crash : report.crashes()) {
      evidenceIsNew |= suspect.onCrash(crash, at(crash.ageMillis(), nowNanos), false, nowNanos);
    }
    if (report.confirmedAgoMillis() != CrashReport.NEVER) {
      evidenceIsNew |= suspect.confirm(at(report.confirmedAgoMillis(), nowNanos), nowNanos);
    }
    if (report.stored() && !suspect.stored()) {
      suspect.onStored(nowNanos);
    }
    if (evidenceIsNew) {
      onNewEvidence(suspect);
    }
    clearIfAnsweredHere(suspect, nowNanos);
    recordStatusChange(suspect);
    dropWithoutEvidence(suspect);
  }

  /** Another node suspects a part that this node has seen answered: the others hear of it. */
  private void clearIfAnsweredHere(Suspect suspect, long nowNanos) {
    OptionalLong answered = answeredParts.lastAnswer(suspect.content());
    if (answered.isPresent() && suspect.onSuccess(answered.getAsLong(), nowNanos)) {
      suspect.onAcquittedHere(nowNanos);
      active.add(suspect);
      urgentChange = true;
      release(suspect);
    }
  }

  private static long at(long agoMillis, long nowNanos) {
    return nowNanos - TimeUnit.MILLISECONDS.toNanos(agoMillis);
  }

  /**
   * Handles a quarantined content that the store has held since before this process started.
   *
   * @param ageMillis time in ms since it was written
   */
  public void onLoadedFromStore(RequestFingerprint content, long ageMillis, long nowNanos) {
    long writtenNanos = at(ageMillis, nowNanos);
    Suspect suspect = suspect(content, writtenNanos, nowNanos);
    if (suspect.confirm(writtenNanos, nowNanos)) {
      suspect.onStored(writtenNanos);
      active.add(suspect);
    }
    recordStatusChange(suspect);
    dropWithoutEvidence(suspect);
  }

  /**
   * Handles a quarantined or suspected content that the store has held since before this process
   * started.
   */
  public void onLoadedFromStore(QuarantineStore.StoredContent stored, long nowNanos) {
    if (stored.engines().isEmpty()) {
      onLoadedFromStore(stored.content(), stored.ageMillis(), nowNanos);
      return;
    }
    long writtenNanos = at(stored.ageMillis(), nowNanos);
    Suspect suspect = suspect(stored.content(), writtenNanos, nowNanos);
    boolean evidenceIsNew = false;
    for (String engineId : stored.engines()) {
      SeenCrash crash = new SeenCrash(engineId, 0, true, stored.content().isPart());
      evidenceIsNew |= suspect.onCrash(crash, writtenNanos, false, nowNanos);
    }
    if (evidenceIsNew) {
      suspect.onSuspicionStored(stored.engines());
      onNewEvidence(suspect);
    }
    recordStatusChange(suspect);
    dropWithoutEvidence(suspect);
  }

  /** Handles that the store has written the content. */
  public void onStored(RequestFingerprint content, long nowNanos) {
    Suspect suspect = suspects.find(content);
    if (suspect != null) {
      suspect.onStored(nowNanos);
    }
  }

  /**
   * Applies the changes that come with time. Called several times a second.
   *
   * @param lastHeard the time in ns at which any node last heard an engine, by engine id
   */
  public void onTick(Function<String, OptionalLong> lastHeard, long nowNanos) {
    for (Suspect suspect : active) {
      if (suspect.removeCrashesOfLiveEngines(lastHeard)) {
        explanationsCurrent = false;
      }
    }
    unconfirmedAnswers
        .takeConfirmed(lastHeard, nowNanos)
        .forEach(answer -> onSuccess(answer.content(), answer.endedNanos(), nowNanos));
    if (!explanationsCurrent) {
      explanationsCurrent = true;
      updateExplanations();
    }
    for (Suspect suspect : List.copyOf(active)) {
      suspect.confirmWhenSettled(nowNanos);
      refresh(suspect);
      if (suspect.isIdleSince(nowNanos - IDLE_NANOS)) {
        active.remove(suspect);
      }
    }
    if (nowNanos - expiryCheckedNanos >= EXPIRY_CHECK_NANOS) {
      expiryCheckedNanos = nowNanos;
      expire(nowNanos);
    }
  }

  private void refresh(Suspect suspect) {
    recordStatusChange(suspect);
    release(suspect);
    dropWithoutEvidence(suspect);
  }

  private void expire(long nowNanos) {
    long lifetime = TimeUnit.MILLISECONDS.toNanos(LIFETIME_MILLIS);
    for (Suspect suspect : List.copyOf(suspects.all())) {
      if (nowNanos - suspect.askedNanos() > lifetime) {
        suspect.expire();
        refresh(suspect);
      }
    }
  }

  private void dropWithoutEvidence(Suspect suspect) {
    if (!suspect.hasEvidence()) {
      drop(suspect);
    }
  }

  private void drop(Suspect suspect) {
    active.remove(suspect);
    explanationsCurrent &= !suspects.remove(suspect);
  }

  private Suspect suspect(RequestFingerprint content, long askedNanos, long nowNanos) {
    return suspects.findOrAdd(content, askedNanos, nowNanos, this::drop);
  }

  private void recordStatusChange(Suspect suspect) {
    if (suspect.takeChange()) {
      changes.add(
          new QuarantineStatusChange(suspect.content(), suspect.status(), suspect.engines()));
    }
  }

  /** The status changes since the last call. */
  public List<QuarantineStatusChange> takeChanges() {
    List<QuarantineStatusChange> taken = List.copyOf(changes);
    changes.clear();
    return taken;
  }

  /**
   * Returns whether there was new evidence since the last call that other nodes should hear of at
   * once.
   */
  public boolean takeUrgentChange() {
    boolean taken = urgentChange;
    urgentChange = false;
    return taken;
  }

  /**
   * The reports that are due to be sent to other nodes, quarantined contents first.
   *
   * @param reportsForOthers whether other nodes receive what this node was told only through this
   *     node
   */
  public List<CrashReport> takeReports(boolean reportsForOthers, long nowNanos) {
    if (active.isEmpty()) {
      return List.of();
    }
    return active.stream()
        .sorted(
            Comparator.comparing(Suspect::status).reversed().thenComparing(Suspect::reportedNanos))
        .filter(
            suspect ->
                suspect.takeReportDue(REPORT_NANOS, REPEAT_NANOS, reportsForOthers, nowNanos))
        .limit(MAX_REPORTS)
        .map(suspect -> suspect.report(nowNanos))
        .toList();
  }

  /** The quarantined contents that this node should write to the store now. */
  public List<RequestFingerprint> takeUnstored(long nowNanos) {
    return active.stream()
        .filter(suspect -> suspect.status() == QuarantineStatus.QUARANTINED)
        .filter(suspects::isConclusive)
        .filter(
            suspect -> suspect.takeStoreDue(backupStoreDelay(suspect), STORE_RETRY_NANOS, nowNanos))
        .map(Suspect::content)
        .toList();
  }

  /**
   * The suspected contents that this node should write to the store, with the engines that crashed
   * under each. Otherwise a process that ends would lose its count. Contents with a single crash
   * are left out, since they are the majority. Parts come last: a process may end between two
   * writes, and a part whose crashes are stored without the content that explains them would be
   * held back.
   */
  public Map<RequestFingerprint, Set<String>> takeUnstoredSuspects() {
    Map<RequestFingerprint, Set<String>> due = new LinkedHashMap<>();
    active.stream()
        .sorted(Comparator.comparing(suspect -> suspect.content().isPart()))
        .forEach(
            suspect ->
                suspect
                    .takeSuspicionDue()
                    .ifPresent(engines -> due.put(suspect.content(), engines)));
    return due;
  }

  /**
   * The quarantined contents that the store has held; a store restored from a copy may lack them.
   */
  public List<RequestFingerprint> stored() {
    return active.stream()
        .filter(suspect -> suspect.status() == QuarantineStatus.QUARANTINED && suspect.stored())
        .map(Suspect::content)
        .toList();
  }

  /** A delay that differs from node to node, so that one node writes and the others hear of it. */
  private long backupStoreDelay(Suspect suspect) {
    long rank = RendezvousHash.weight(suspect.content().digest(), node);
    long spread = Long.remainderUnsigned(rank, STORE_SPREAD_MILLIS);
    return BACKUP_STORE_NANOS + TimeUnit.MILLISECONDS.toNanos(spread);
  }

  /** The released contents that should be removed from the store. */
  public List<RequestFingerprint> takeReleased() {
    List<RequestFingerprint> taken = List.copyOf(released);
    released.clear();
    return taken;
  }

  /** The number of contents or of parts in quarantine. */
  public int quarantined(RequestFingerprint.Kind kind) {
    return (int)
        active.stream()
            .filter(suspect -> suspect.content().kind() == kind)
            .filter(suspect -> suspect.status() == QuarantineStatus.QUARANTINED)
            .count();
  }
}
