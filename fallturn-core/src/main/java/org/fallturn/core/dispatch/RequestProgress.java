package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.quarantine.BrokenAttempt;
import org.fallturn.core.quarantine.RequestContent;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.streams.KnownOrigin;

/**
 * State of one request across its attempts. Only the dispatcher modifies it, on the dispatch
 * thread.
 */
public final class RequestProgress {

  private final RequestEnvelope envelope;
  private final RequestContent content;
  private final Set<String> triedEngines = new HashSet<>();
  private final List<EndedSend> endedSends = new ArrayList<>(0);
  private String service = "";
  private int runSends;
  private int possibleRuns;
  private int prefillAttempts;
  private int sends;
  private boolean prefillCompleted;
  private ServingEngine engine;
  private NetworkAddress forwarder;
  private boolean prefilling;
  private int chargedTokens;
  private long aheadTokens;
  private long sentNanos;
  private Urgency urgency = Urgency.IN_TIME;
  private OptionalLong engineHeardNanos = OptionalLong.empty();
  private int overtakenCount;
  private boolean answerBegun;
  private boolean isolated;
  private Optional<String> requiredVersion = Optional.empty();
  private Optional<KnownOrigin> resumedFrom = Optional.empty();
  private CacheSource source;
  private ExpectedWork expected;
  private RetryBudgetUse budgetUse;

  /** Creates the state of a request that has just arrived. */
  public RequestProgress(RequestEnvelope envelope, RequestContent content) {
    this.envelope = envelope;
    this.content = content;
  }

  /** The properties of the request on which decisions are based. */
  public RequestEnvelope envelope() {
    return envelope;
  }

  /** The content, which identifies the request when it is sent again with another id. */
  public RequestContent content() {
    return content;
  }

  /**
   * Whether the request is sent only to engines with the fewest other requests, because its content
   * may crash them.
   */
  boolean isolated() {
    return isolated;
  }

  void isolate(boolean value) {
    isolated = value;
  }

  /** What the engine of the current attempt had to do with the request. */
  BrokenAttempt attemptForQuarantine() {
    if (prefilling) {
      return BrokenAttempt.READ_AHEAD;
    }
    return isolated ? BrokenAttempt.RUN_ALONE : BrokenAttempt.RUN;
  }

  /**
   * The only software version whose engines may run the request: the one that began its stream.
   * Empty while none of its events has been passed on.
   */
  Optional<String> requiredVersion() {
    return requiredVersion;
  }

  void requireVersion(String softwareVersion) {
    requiredVersion = Optional.of(softwareVersion);
  }

  /** Requires the version at which the stream began that the request continues. */
  void resumeFrom(KnownOrigin known) {
    resumedFrom = Optional.of(known);
    requireVersion(known.origin().softwareVersion());
  }

  /** Where the stream began that the request continues; empty for one that begins anew. */
  public Optional<KnownOrigin> resumedFrom() {
    return resumedFrom;
  }

  /** Whether an engine's software version allows it to run the request. */
  boolean allowsVersionOf(ServingEngine candidate) {
    return requiredVersion
        .filter(version -> !version.equals(candidate.softwareVersion()))
        .isEmpty();
  }

  /** The service that the request goes to; empty before the first decision. */
  public String service() {
    return service;
  }

  /** The engine of the current attempt; empty while there is no attempt. */
  public Optional<ServingEngine> engine() {
    return Optional.ofNullable(engine);
  }

  /** The node that the current attempt is sent through; empty if it is sent directly. */
  public Optional<NetworkAddress> forwarder() {
    return Optional.ofNullable(forwarder);
  }

  void sendThrough(Optional<NetworkAddress> peer) {
    forwarder = peer.orElse(null);
  }

  /** Lets the request be sent to an engine again that it has not reached. */
  void allowAgain(ServingEngine unreached) {
    triedEngines.remove(unreached.id());
  }

  /** Whether the current attempt is a prefill, in which the engine only reads the prompt. */
  public boolean prefilling() {
    return prefilling;
  }

  /** Number of engines that may have run the request, including that of the current attempt. */
  public int possibleRuns() {
    return possibleRuns;
  }

  /** Number of times that the request was sent to an engine to be run. */
  public int runSends() {
    return runSends;
  }

  /** The sends that ended without an answer for the caller, in order. */
  public List<EndedSend> endedSends() {
    return Collections.unmodifiableList(endedSends);
  }

  /**
   * Shows that the request has not run; empty if an engine may have run it, or may be about to. A
   * prefill is no run.
   */
  public Optional<NotRunProof> notRunProof() {
    return possibleRuns > 0 ? Optional.empty() : Optional.of(new NotRunProof(endedSends));
  }

  /**
   * As {@link #notRunProof}, given how the current attempt has ended, if there is one.
   *
   * @param outcome how it ended, which was not recorded yet
   */
  public Optional<NotRunProof> notRunProofAfter(AttemptOutcome outcome) {
    if (engine == null) {
      return notRunProof();
    }
    int runs = possibleRuns - (prefilling || outcome.mayHaveRun() ? 0 : 1);
    List<EndedSend> sends = new ArrayList<>(endedSends);
    sends.add(currentSendEndedBy(outcome));
    return runs > 0 ? Optional.empty() : Optional.of(new NotRunProof(sends));
  }

  private EndedSend currentSendEndedBy(AttemptOutcome outcome) {
    return new EndedSend(engine.id(), prefilling, forwarder != null, outcome);
  }

  /** Number of times that the prompt was sent to a prefill engine. */
  public int prefillAttempts() {
    return prefillAttempts;
  }

  /**
   * Whether the next send counts as a repeat. A request needs one run, and one prefill if an engine
   * has completed it; every further send is a repeat.
   */
  boolean nextSendIsRepeat() {
    return sends > (prefillCompleted ? 1 : 0);
  }

  /** Whether the current attempt may be abandoned in favor of another engine. */
  public boolean mayGoElsewhere() {
    Route route = envelope.route();
    return prefilling || route.repeatable() && possibleRuns < route.maxAttempts();
  }

  /** Whether more time than the route's target latency has passed since the request arrived. */
  boolean late(long nowNanos) {
    return nowNanos - envelope.arrivedNanos() > envelope.route().targetLatency().toNanos();
  }

  /** The KV cache of the prompt that an engine holds for transfer; empty when there is none. */
  public Optional<CacheSource> source() {
    return Optional.ofNullable(source);
  }

  boolean hasTried(ServingEngine candidate) {
    return triedEngines.contains(candidate.id());
  }

  /** Prompt tokens that count toward the engine's backlog; 0 once the prompt has been read. */
  int chargedTokens() {
    return chargedTokens;
  }

  /** Prompt tokens that the engine was expected, at the send, to read before this prompt. */
  long aheadTokens() {
    return aheadTokens;
  }

  /** When the current attempt was sent or, between attempts, the previous one. */
  public long sentNanos() {
    return sentNanos;
  }

  /**
   * When any node first heard from the engine after the current attempt was sent; empty until then.
   */
  OptionalLong engineHeardNanos() {
    return engineHeardNanos;
  }

  void onEngineHeard(long nanos) {
    engineHeardNanos = OptionalLong.of(nanos);
  }

  /** Urgency level that the engine compares with those of its other requests. */
  int level() {
    return urgency.level(envelope.rank());
  }

  /** Whether the request was sent as less urgent than requests that can be answered in time. */
  boolean sentAsLate() {
    return urgency.late();
  }

  /**
   * Counts a prompt that was sent to the engine later and is not more urgent but was read first.
   */
  void onOvertaken() {
    overtakenCount++;
  }

  /**
   * Records that the answer of the current attempt has begun; returns false if it had begun before.
   */
  boolean beginAnswer() {
    boolean first = !answerBegun;
    answerBegun = true;
    if (envelope.route().streaming()) {
      requireVersion(engine.softwareVersion());
    }
    return first;
  }

  /**
   * Maximum number of KV cache tokens that the request occupies while it runs: the prompt and the
   * longest possible answer.
   */
  long cacheTokens() {
    return envelope
        .prompt()
        .map(prompt -> (long) prompt.promptTokens() + prompt.maxOutputTokens())
        .orElse(0L);
  }

  /** Whether the answer may be long; see {@link PromptShape#longAnswer}. */
  boolean longAnswer() {
    return envelope.prompt().filter(PromptShape::longAnswer).isPresent();
  }

  /** Whether the answer of the current attempt has begun. */
  boolean begun() {
    return answerBegun;
  }

  /**
   * Number of prompts that were sent later and are not more urgent but were read before this one.
   */
  int overtakenCount() {
    return overtakenCount;
  }

  /** Records that the prompt has been read. */
  void promptRead() {
    chargedTokens = 0;
  }

  void chooseService(String name) {
    service = name;
  }

  void beginPrefill(
      ServingEngine chosen, PlacementEstimate estimate, Urgency attemptUrgency, long nowNanos) {
    beginAttempt(chosen, estimate, attemptUrgency, nowNanos);
    prefilling = true;
    prefillAttempts++;
  }

  void beginRun(
      ServingEngine chosen, PlacementEstimate estimate, Urgency attemptUrgency, long nowNanos) {
    beginAttempt(chosen, estimate, attemptUrgency, nowNanos);
    prefilling = false;
    runSends++;
    possibleRuns++;
  }

  private void beginAttempt(
      ServingEngine chosen, PlacementEstimate estimate, Urgency attemptUrgency, long nowNanos) {
    engine = chosen;
    forwarder = null;
    aheadTokens = estimate.aheadTokens();
    chargedTokens = estimate.readTokens();
    urgency = attemptUrgency;
    engineHeardNanos = OptionalLong.empty();
    overtakenCount = 0;
    answerBegun = false;
    sentNanos = nowNanos;
    sends++;
    triedEngines.add(chosen.id());
  }

  /** Sets the expected work of the next attempt. */
  void setExpected(ExpectedWork work) {
    expected = work;
  }

  /**
   * Returns and clears the expected work of the current attempt; empty if it is unknown or was
   * already taken.
   */
  Optional<ExpectedWork> takeExpected() {
    Optional<ExpectedWork> taken = Optional.ofNullable(expected);
    expected = null;
    return taken;
  }

  void setBudgetUse(RetryBudgetUse use) {
    budgetUse = use;
  }

  /** Returns and clears the last use of the retry budget for this request, if any. */
  public Optional<RetryBudgetUse> takeBudgetUse() {
    Optional<RetryBudgetUse> use = Optional.ofNullable(budgetUse);
    budgetUse = null;
    return use;
  }

  /**
   * Records how the send of the current attempt ended, if there is an attempt. One of which no byte
   * reached an engine is not counted any more.
   */
  void recordFailedSend(AttemptOutcome outcome) {
    if (engine != null) {
      endedSends.add(currentSendEndedBy(outcome));
    }
    if (!outcome.mayHaveReached()) {
      sends--;
    }
  }

  /**
   * Ends the current attempt.
   *
   * @param mayHaveRun whether the engine may have run the request
   */
  void endAttempt(boolean mayHaveRun) {
    expected = null;
    if (!prefilling && !mayHaveRun) {
      possibleRuns--;
    }
    engine = null;
    forwarder = null;
    prefilling = false;
    chargedTokens = 0;
  }

  /**
   * Records that a prefill has been completed.
   *
   * @param newSource where the KV cache of the prompt can be fetched
   */
  void keepSource(CacheSource newSource) {
    prefillCompleted = true;
    source = newSource;
  }

  void dropSource() {
    source = null;
  }
}
