package org.fallturn.core.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fallturn.core.quarantine.RequestContent;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.ServingEngine;

/**
 * State of one request over its attempts. Only the dispatcher changes it, on the dispatch thread.
 */
public final class RequestProgress {

  private final RequestEnvelope envelope;
  private final RequestContent content;
  private final Set<String> triedEngines = new HashSet<>();
  private String service = "";
  private int runSends;
  private int possibleRuns;
  private int prefillAttempts;
  private int sends;
  private boolean prefilled;
  private ServingEngine engine;
  private boolean prefilling;
  private int chargedTokens;
  private long aheadTokens;
  private long sentNanos;
  private Urgency urgency = Urgency.IN_TIME;
  private OptionalLong engineHeardNanos = OptionalLong.empty();
  private int overtakenCount;
  private boolean begun;
  private boolean isolated;
  private CacheSource source;
  private ExpectedWork expected;

  /** State of a request that has just arrived. */
  public RequestProgress(RequestEnvelope envelope, RequestContent content) {
    this.envelope = envelope;
    this.content = content;
  }

  /** The facts about the request that decisions are based on. */
  public RequestEnvelope envelope() {
    return envelope;
  }

  /** The content, which identifies the request when it comes again under another id. */
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

  /** The service that the request goes to; empty before the first decision. */
  public String service() {
    return service;
  }

  /** The engine of the present attempt; empty while there is none. */
  public Optional<ServingEngine> engine() {
    return Optional.ofNullable(engine);
  }

  /** Whether the engine of the present attempt only reads the prompt. */
  public boolean prefilling() {
    return prefilling;
  }

  /** Number of engines that may have run the request, including the present one. */
  public int possibleRuns() {
    return possibleRuns;
  }

  /** How often the request was sent to an engine to be run. */
  public int runSends() {
    return runSends;
  }

  /** How often the prompt was sent to a prefill engine. */
  public int prefillAttempts() {
    return prefillAttempts;
  }

  /**
   * Whether the next send counts as a repeat: a request needs one run, and one prefill if its
   * engine carried it out; every send beyond these is a repeat.
   */
  boolean nextSendIsRepeat() {
    return sends > (prefilled ? 1 : 0);
  }

  /** Whether the present attempt may be given up in favor of another engine. */
  boolean mayGoElsewhere() {
    Route route = envelope.route();
    return prefilling || route.repeatable() && possibleRuns < route.maxAttempts();
  }

  /** Whether the target latency of the route has passed. */
  boolean late(long nowNanos) {
    return nowNanos - envelope.arrivedNanos() > envelope.route().targetLatency().toNanos();
  }

  /** The KV cache of the prompt that an engine keeps to be fetched; empty when there is none. */
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

  /** Prompt tokens that the engine was expected to read before this prompt, when it was sent. */
  long aheadTokens() {
    return aheadTokens;
  }

  /** When the present or, between attempts, the last attempt was sent. */
  public long sentNanos() {
    return sentNanos;
  }

  /**
   * When any node first heard from the engine after the present attempt was sent; empty until then.
   */
  OptionalLong engineHeardNanos() {
    return engineHeardNanos;
  }

  void onEngineHeard(long nanos) {
    engineHeardNanos = OptionalLong.of(nanos);
  }

  /** Urgency level among the requests of the engine. */
  int level() {
    return urgency.level(envelope.rank());
  }

  /** Whether the request was sent with an urgency behind requests that can be answered in time. */
  boolean sentAsLate() {
    return urgency.late();
  }

  /** Counts a prompt that was sent to the engine later, is no more urgent, and was read earlier. */
  void onOvertaken() {
    overtakenCount++;
  }

  /**
   * Records that the answer of the present attempt has begun; returns false if it had begun before.
   */
  boolean beginAnswer() {
    boolean first = !begun;
    begun = true;
    return first;
  }

  /**
   * Tokens of KV cache that the request occupies while it runs: the prompt and the longest answer.
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

  /** Whether the answer of the present attempt has begun. */
  boolean begun() {
    return begun;
  }

  /** How many prompts that were sent to the engine later were read before this one. */
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
      ServingEngine chosen, PlacementEstimate estimate, Urgency order, long nowNanos) {
    beginAttempt(chosen, estimate, order, nowNanos);
    prefilling = true;
    prefillAttempts++;
  }

  void beginRun(ServingEngine chosen, PlacementEstimate estimate, Urgency order, long nowNanos) {
    beginAttempt(chosen, estimate, order, nowNanos);
    prefilling = false;
    runSends++;
    possibleRuns++;
  }

  private void beginAttempt(
      ServingEngine chosen, PlacementEstimate estimate, Urgency order, long nowNanos) {
    engine = chosen;
    aheadTokens = estimate.aheadTokens();
    chargedTokens = estimate.readTokens();
    urgency = order;
    engineHeardNanos = OptionalLong.empty();
    overtakenCount = 0;
    begun = false;
    sentNanos = nowNanos;
    sends++;
    triedEngines.add(chosen.id());
  }

  /** Sets the expected work of the next attempt. */
  void setExpected(ExpectedWork work) {
    expected = work;
  }

  /**
   * Returns and clears the expected work of the present attempt; empty if it is unknown or was
   * taken before.
   */
  Optional<ExpectedWork> takeExpected() {
    Optional<ExpectedWork> taken = Optional.ofNullable(expected);
    expected = null;
    return taken;
  }

  /**
   * Ends the present attempt.
   *
   * @param mayHaveRun whether the engine may have run the request
   */
  void endAttempt(boolean mayHaveRun) {
    expected = null;
    if (!prefilling && !mayHaveRun) {
      possibleRuns--;
    }
    engine = null;
    prefilling = false;
    chargedTokens = 0;
  }

  /** Takes the last attempt out of the count of sends, since no byte of it reached an engine. */
  void uncountSend() {
    sends--;
  }

  /**
   * Records that the prompt has been read.
   *
   * @param kept where its KV cache can be fetched
   */
  void keepSource(CacheSource kept) {
    prefilled = true;
    source = kept;
  }

  void dropSource() {
    source = null;
  }
}
