package org.fallturn.rehearsal.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.PrefixBlocks;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.port.engine.CacheEvents.CacheEvent;
import org.fallturn.core.port.engine.GenerateRequest;
import org.fallturn.core.port.engine.LoadReport;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.PrefillRequest;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.rehearsal.DeterministicTokens;
import org.fallturn.rehearsal.engine.EngineJournal.End;

/**
 * Runs the batch in real time: one step after the other, each as long as the cost model says. Owns
 * prefix cache and KV exports. Used on the engine's thread only.
 */
final class BatchExecutor {

  private static final long KV_KEEP_SECONDS = 60;
  private static final long MAX_CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final EngineSettings settings;
  private final EngineCostModel costs;
  private final ScheduledExecutorService engineThread;
  private final JournalKeeper journal;
  private final Runnable afterStep;
  private final BatchScheduler scheduler;
  private final PrefixCache cache;
  private final CacheEventLog cacheEvents;
  private final KvStore kvStore = new KvStore(TimeUnit.SECONDS.toNanos(KV_KEEP_SECONDS));
  private final KvImporter importer;
  private final Map<Sequence, Work> works = new LinkedHashMap<>();
  private double slowness = 1;
  private boolean stepping;
  private long arrivals;
  private long generatedTokens;
  private long prefilledTokens;

  BatchExecutor(
      EngineSettings settings,
      ScheduledExecutorService engineThread,
      JsonHttpClient client,
      JournalKeeper journal,
      CacheEventLog cacheEvents,
      Runnable afterStep) {
    this.settings = settings;
    this.costs = new EngineCostModel(settings.costs());
    this.engineThread = engineThread;
    this.journal = journal;
    this.cacheEvents = cacheEvents;
    this.afterStep = afterStep;
    this.scheduler = new BatchScheduler(settings.costs());
    this.cache = new PrefixCache(settings.cacheBlocks());
    this.importer = new KvImporter(settings, client, engineThread);
  }

  int requests() {
    return works.size();
  }

  boolean isFull() {
    return scheduler.waitingCount() >= settings.maxWaiting();
  }

  long generatedTokens() {
    return generatedTokens;
  }

  void setSlowness(double factor) {
    slowness = factor;
  }

  LoadReport load(long incarnation) {
    return new LoadReport(
        settings.engine(),
        incarnation,
        0,
        scheduler.runningCount(),
        scheduler.waitingCount(),
        scheduler.waitingPromptTokens(),
        scheduler.runningContextTokens(),
        generatedTokens,
        prefilledTokens);
  }

  Optional<KvExport> export(String kvHandle) {
    return kvStore.get(kvHandle, System.nanoTime());
  }

  /** Ends all work and forgets all caches. */
  void clear(End how) {
    List.copyOf(works.keySet()).forEach(sequence -> end(sequence, how));
    cacheEvents.append(CacheEvent.Kind.EVICTED, cache.clear(), System.nanoTime());
    kvStore.clear();
  }

  /** The counters of an engine that has started anew. */
  void resetCounters() {
    generatedTokens = 0;
    prefilledTokens = 0;
  }

  /** Ends all work on a request. */
  void cancel(RequestId requestId, End how) {
    List<Sequence> cancelled = new ArrayList<>();
    for (Sequence sequence : works.keySet()) {
      if (sequence.requestId().equals(requestId)) {
        cancelled.add(sequence);
      }
    }
    cancelled.forEach(sequence -> end(sequence, how));
  }

  void prefill(
      PrefillRequest request,
      List<String> promptTokens,
      String kvHandle,
      CompletableFuture<PrefillAnswer> answer) {
    List<Long> blocks = blocks(request.cacheScope(), request.adapter(), promptTokens);
    int prompt = Math.max(1, promptTokens.size());
    int cached = cachedTokens(blocks, prompt);
    JournalKeeper.StartedRequest entry =
        journal.prefill(request.requestId(), request.cacheScope(), request.priority(), prompt);
    entry.cached(cached);
    long hash =
        KvExport.promptHash(
            request.cacheScope(), request.model().value(), request.adapter(), request.prompt());
    KvExport export = new KvExport(kvHandle, hash, prompt, costs.kvBytes(prompt));
    Sequence sequence =
        new Sequence(
            request.requestId(), request.priority(), arrivals++, prompt, prompt - cached, 0, 0);
    works.put(sequence, new Work.Prefill(answer, export, cached, blocks, entry));
    schedule(sequence);
  }

  void generate(GenerateRequest request, List<String> promptTokens, TokenStream stream) {
    int prompt = Math.max(1, promptTokens.size());
    int length = new DeterministicTokens(request.prompt()).length(request.maxTokens());
    JournalKeeper.StartedRequest entry =
        journal.generate(
            request.requestId(),
            request.cacheScope(),
            request.priority(),
            request.startOffset(),
            prompt);
    List<Long> blocks = blocks(request.cacheScope(), request.adapter(), promptTokens);
    Work.Generate work = new Work.Generate(stream, length, request.maxTokens(), blocks, entry);
    RequestId requestId = request.requestId();
    stream.open(() -> engineThread.execute(() -> cancel(requestId, End.CALLER_GONE)));
    if (request.startOffset() >= length) {
      work.advanceTo(length);
      return;
    }
    int cached = cachedTokens(blocks, prompt);
    Sequence computing = sequence(request, prompt, prompt - cached, length);
    if (request.kvSource().isEmpty()) {
      entry.cached(cached);
      works.put(computing, work);
      schedule(computing);
      return;
    }
    Sequence importing = sequence(request, prompt, 0, length);
    works.put(importing, work);
    importer.importFrom(
        request.kvSource().get(),
        KvExport.promptHash(
            request.cacheScope(), request.model().value(), request.adapter(), request.prompt()),
        () -> imported(importing, entry, prompt),
        () -> replace(importing, computing));
  }

  private Sequence sequence(GenerateRequest request, int prompt, int promptLeft, int length) {
    int offset = request.startOffset();
    return new Sequence(
        request.requestId(),
        request.priority(),
        arrivals++,
        prompt + offset,
        promptLeft + offset,
        offset,
        length);
  }

  private void imported(Sequence sequence, JournalKeeper.StartedRequest entry, int prompt) {
    if (works.containsKey(sequence)) {
      entry.cached(prompt);
      schedule(sequence);
    }
  }

  private void replace(Sequence importing, Sequence computing) {
    Work work = works.remove(importing);
    if (work != null) {
      works.put(computing, work);
      schedule(computing);
    }
  }

  private static List<Long> blocks(String scope, String adapter, List<String> promptTokens) {
    String wholeScope = adapter.isEmpty() ? scope : scope + "\n" + adapter;
    return PrefixBlocks.hashes(wholeScope, promptTokens);
  }

  private int cachedTokens(List<Long> blocks, int promptTokens) {
    return Math.min(cache.match(blocks) * PrefixBlocks.TOKENS_PER_BLOCK, promptTokens - 1);
  }

  private void schedule(Sequence sequence) {
    scheduler.add(sequence);
    if (!stepping) {
      stepping = true;
      beginStep(System.nanoTime());
    }
  }

  private void end(Sequence sequence, End how) {
    scheduler.remove(sequence);
    Work work = works.remove(sequence);
    if (work != null) {
      work.ended(sequence, how);
    }
  }

  private void beginStep(long fromNanos) {
    BatchScheduler.Step step = scheduler.formStep();
    long modelNanos = costs.stepNanos(step.work());
    long endNanos = fromNanos + settings.realNanos(Math.round(modelNanos * slowness));
    engineThread.schedule(
        () -> endStep(step, endNanos), endNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
  }

  private void endStep(BatchScheduler.Step step, long endNanos) {
    prefilledTokens += step.prefillTokens();
    scheduler.finishStep(step).forEach(this::progressed);
    afterStep.run();
    if (scheduler.isIdle()) {
      stepping = false;
    } else {
      beginStep(Math.max(endNanos, System.nanoTime() - MAX_CATCH_UP_NANOS));
    }
  }

  private void progressed(Sequence sequence) {
    Work work = works.get(sequence);
    if (sequence.hasJustComputedPrompt()) {
      promptComputed(work);
    }
    if (!sequence.isPrefillOnly()) {
      generatedTokens++;
      journal.generated(1);
    }
    if (sequence.isDone()) {
      works.remove(sequence);
    }
    work.progressed(sequence);
  }

  private void promptComputed(Work work) {
    long now = System.nanoTime();
    PrefixCache.Change change = cache.store(work.promptBlocks());
    cacheEvents.append(CacheEvent.Kind.STORED, change.stored(), now);
    cacheEvents.append(CacheEvent.Kind.EVICTED, change.evicted(), now);
    if (work instanceof Work.Prefill prefill) {
      kvStore.put(prefill.export(), now);
    }
  }
}
