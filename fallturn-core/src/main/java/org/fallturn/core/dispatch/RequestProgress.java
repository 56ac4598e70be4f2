package org.fallturn.core.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fallturn.core.quarantine.RequestContent;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.ServingEngine;

/**
 * What has been done for one request so far. Only the dispatcher writes it, on the dispatch thread.
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

  /** A request that has just arrived. */
  public RequestProgress(RequestEnvelope envelope, RequestContent content) {
    this.envelope = envelope;
    this.content = content;
  }

  /** What is decided on. */
  public RequestEnvelope envelope() {
    return envelope;
  }

  /** What it is known by when it comes again under another id. */
  public RequestContent content() {
    return content;
  }

  /** Whether it goes where few others run, as an engine may crash under it. */
  boolean isolated() {
    return isolated;
  }

  void isolate(boolean apart) {
    isolated = apart;
  }

  /** The service it goes to; empty before the first decision. */
  public String service() {
    return service;
  }

  /** The engine that has the request now. */
  public Optional<ServingEngine> engine() {
    return Optional.ofNullable(engine);
  }

  /** Whether the present attempt only reads the prompt. */
  public boolean prefilling() {
    return prefilling;
  }

  /** How many engines may have run it, the present one included. */
  public int possibleRuns() {
    return possibleRuns;
  }

  /** How often it was sent to be run. */
  public int runSends() {
    return runSends;
  }

  /** How often a prompt was sent to be read ahead. */
  public int prefillAttempts() {
    return prefillAttempts;
  }

  /**
   * Whether the next send is one more arrival at the service than a request needs: a run, and one
   * prefill that its engine carried out.
   */
  boolean nextSendIsRepeat() {
    return sends > (prefilled ? 1 : 0);
  }

  /** Whether the present attempt may be given up for one at another engine. */
  boolean mayGoElsewhere() {
    Route route = envelope.route();
    return prefilling || route.repeatable() && possibleRuns < route.maxAttempts();
  }

  /** Whether an answer that begins now comes after the time in which it is worth most. */
  boolean late(long nowNanos) {
    return nowNanos - envelope.arrivedNanos() > envelope.route().targetLatency().toNanos();
  }

  /** A KV cache that waits to be fetched. */
  public Optional<CacheSource> source() {
    return Optional.ofNullable(source);
  }

  boolean hasTried(ServingEngine candidate) {
    return triedEngines.contains(candidate.id());
  }

  int chargedTokens() {
    return chargedTokens;
  }

  /** Tokens that waited before it at the engine. */
  long aheadTokens() {
    return aheadTokens;
  }

  /** When the present attempt, or the last one, was sent. */
  public long sentNanos() {
    return sentNanos;
  }

  /** When its engine was first heard by anybody after the present attempt was sent. */
  OptionalLong engineHeardNanos() {
    return engineHeardNanos;
  }

  void onEngineHeard(long nanos) {
    engineHeardNanos = OptionalLong.of(nanos);
  }

  /** Its level among the requests of the engine that has it. */
  int level() {
    return urgency.level(envelope.rank());
  }

  /** Whether the engine was told to let those go first that can be answered in time. */
  boolean sentAsLate() {
    return urgency.late();
  }

  /** A prompt that was sent to the engine later, and is no more urgent, has been read before it. */
  void onOvertaken() {
    overtakenCount++;
  }

  /** The answer of the present attempt begins; false when it had begun before. */
  boolean beginAnswer() {
    boolean first = !begun;
    begun = true;
    return first;
  }

  /** Tokens of KV cache that it holds when it runs: its prompt and the longest answer. */
  long cacheTokens() {
    return envelope
        .prompt()
        .map(prompt -> (long) prompt.promptTokens() + prompt.maxOutputTokens())
        .orElse(0L);
  }

  /** Whether its answer may run for long. */
  boolean longAnswer() {
    return envelope.prompt().filter(PromptShape::longAnswer).isPresent();
  }

  /** Whether the answer of the present attempt has begun. */
  boolean begun() {
    return begun;
  }

  /** How many have onOvertaken the present attempt. */
  int overtakenCount() {
    return overtakenCount;
  }

  /** The prompt has been read. */
  void promptRead() {
    chargedTokens = 0;
  }

  void chooseService(String name) {
    service = name;
  }

  void beginPrefill(
      ServingEngine chosen, PlacementEstimate estimate, Urgency order, long nowNanos) {
    beginAnswer(chosen, estimate, order, nowNanos);
    prefilling = true;
    prefillAttempts++;
  }

  void beginRun(ServingEngine chosen, PlacementEstimate estimate, Urgency order, long nowNanos) {
    beginAnswer(chosen, estimate, order, nowNanos);
    prefilling = false;
    runSends++;
    possibleRuns++;
  }

  private void beginAnswer(
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

  /** What the next attempt should take. */
  void setExpected(ExpectedWork work) {
    expected = work;
  }

  /** What the present attempt should have taken; empty where it is not known, or was taken. */
  Optional<ExpectedWork> takeExpected() {
    Optional<ExpectedWork> taken = Optional.ofNullable(expected);
    expected = null;
    return taken;
  }

  /** The present attempt is over. */
  void endAttempt(boolean mayHaveRun) {
    expected = null;
    if (!prefilling && !mayHaveRun) {
      possibleRuns--;
    }
    engine = null;
    prefilling = false;
    chargedTokens = 0;
  }

  /** No byte of the present attempt reached an engine. */
  void takeBackSend() {
    sends--;
  }

  /** The prompt was read; its KV cache waits at its engine. */
  void keepSource(CacheSource kept) {
    prefilled = true;
    source = kept;
  }

  void dropSource() {
    source = null;
  }
}
