package org.fallturn.rehearsal.engine;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineRefusal.Reason;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.GenerateRequest;
import org.fallturn.core.port.engine.LoadReport;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.PrefillRequest;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.rehearsal.engine.CrashPlan.Point;
import org.fallturn.rehearsal.engine.EngineJournal.End;

/**
 * The engine itself: batch, orders and reports, all on one thread. {@link #call} and {@link
 * #execute} lead to that thread; every other method is called on it.
 */
final class EngineLoop implements OrderExecutor.Effects, AutoCloseable {

  private static final long REPORT_INTERVAL_MILLIS = 50;
  private static final long LOAD_WITHOUT_PLATFORM_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final EngineSettings settings;
  private final Runnable crash;
  private final ScheduledThreadPoolExecutor thread;
  private final CacheEventLog cacheEvents;
  private final LoadReportLog loadReports;
  private final BatchExecutor batch;
  private final OrderExecutor orders;
  private final JsonHttpClient client;
  private EngineBehaviour behaviour = EngineBehaviour.NORMAL;
  private CrashPlan crashPlan = CrashPlan.NEVER;
  private long crashAtTokens;
  private long incarnation;
  private long handles;

  EngineLoop(
      EngineSettings settings, JsonHttpClient client, JournalKeeper journal, Runnable crash) {
    this.settings = settings;
    this.client = client;
    this.crash = crash;
    this.thread = new ScheduledThreadPoolExecutor(1, this::daemon);
    EngineSettings.Reports reports = settings.reports();
    this.cacheEvents =
        new CacheEventLog(
            TimeUnit.MILLISECONDS.toNanos(reports.cacheEventLagMillis()),
            reports.cacheEventLossOneIn(),
            new SplittableRandom(settings.engine().value().hashCode()));
    this.loadReports = new LoadReportLog(TimeUnit.MILLISECONDS.toNanos(reports.loadLagMillis()));
    this.batch =
        new BatchExecutor(settings, thread, client, journal, cacheEvents, this::crashWhenDue);
    this.orders = new OrderExecutor(settings, journal, this);
    restart();
    thread.scheduleAtFixedRate(
        this::report, REPORT_INTERVAL_MILLIS, REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private Thread daemon(Runnable task) {
    Thread daemon = new Thread(task, "engine-" + settings.engine());
    daemon.setDaemon(true);
    return daemon;
  }

  /** Runs something on the engine's thread. */
  void execute(Runnable task) {
    if (!thread.isShutdown()) {
      thread.execute(task);
    }
  }

  /** Asks something on the engine's thread. */
  <A> CompletableFuture<A> call(Supplier<A> question) {
    return CompletableFuture.supplyAsync(question, thread);
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }

  /** Starts anew, empty, under a higher incarnation. */
  void restart() {
    incarnation = Math.max(incarnation + 1, System.currentTimeMillis());
    crashPlan = CrashPlan.NEVER;
    batch.clear(End.CRASHED);
    batch.resetCounters();
    orders.restart(incarnation);
    report();
  }

  void behave(EngineBehaviour next) {
    behaviour = next;
    batch.setSlowness(next.slowness());
  }

  void planCrash(CrashPlan plan) {
    crashPlan = plan;
    crashAtTokens = batch.generatedTokens() + plan.afterTokens();
    reached(Point.NOW);
  }

  EngineState state() {
    return orders.state();
  }

  OrderAnswer order(EngineOrder order) {
    return orders.execute(order);
  }

  LoadReport load() {
    return loadReports.seenAt(System.nanoTime());
  }

  CacheEvents cacheEventsAfter(long after) {
    return cacheEvents.after(after, incarnation, System.nanoTime());
  }

  KvExport export(String kvHandle) {
    return batch.export(kvHandle).orElse(null);
  }

  void cancel(RequestId requestId) {
    batch.cancel(requestId, End.CANCELLED);
  }

  void prefill(
      PrefillRequest request, List<String> promptTokens, CompletableFuture<PrefillAnswer> answer) {
    try {
      requireWilling(EngineRole.PREFILL, request.model(), request.adapter());
      String kvHandle = settings.engine() + "-" + incarnation + "-" + handles++;
      batch.prefill(request, promptTokens, kvHandle, answer);
    } catch (EngineRefusedException e) {
      answer.completeExceptionally(e);
    }
  }

  void generate(GenerateRequest request, List<String> promptTokens, TokenStream stream)
      throws EngineRefusedException {
    requireWilling(EngineRole.DECODE, request.model(), request.adapter());
    batch.generate(request, promptTokens, stream);
  }

  private void requireWilling(EngineRole role, ModelName model, String adapter)
      throws EngineRefusedException {
    if (behaviour.leaving()) {
      throw new EngineRefusedException(Reason.LEAVING, "the engine is leaving");
    }
    if (!orders.isServing()) {
      throw new EngineRefusedException(Reason.NOT_SERVING, "the engine is busy with an order");
    }
    if (orders.role() != role) {
      throw new EngineRefusedException(Reason.WRONG_ROLE, "the role is " + orders.role());
    }
    if (!orders.hasLoaded(model, adapter)) {
      throw new EngineRefusedException(
          Reason.WRONG_MODEL, "not loaded: " + model + " adapter '" + adapter + "'");
    }
    if (batch.isFull()) {
      throw new EngineRefusedException(Reason.FULL, "the queue is full");
    }
  }

  private void report() {
    loadReports.add(batch.load(incarnation), System.nanoTime());
  }

  private void crashWhenDue() {
    if (batch.generatedTokens() >= crashAtTokens) {
      reached(Point.AFTER_TOKENS);
    }
  }

  @Override
  public void takeAway() {
    batch.clear(End.CUT_BY_ORDER);
  }

  @Override
  public void after(long modelNanos, Runnable action) {
    long started = incarnation;
    thread.schedule(
        () -> {
          if (incarnation == started) {
            action.run();
          }
        },
        settings.realNanos(modelNanos),
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void load(String name, String version, Runnable action) {
    long started = incarnation;
    if (settings.platform().isEmpty()) {
      after(LOAD_WITHOUT_PLATFORM_NANOS, action);
      return;
    }
    new WeightLoader(client, settings.platform().get(), thread)
        .load(name, version, () -> incarnation == started, action);
  }

  @Override
  public void reached(Point point) {
    if (crashPlan.point() == point) {
      crash.run();
    }
  }

  CrashPlan crashPlan() {
    return crashPlan;
  }

  @Override
  public int running() {
    return batch.requests();
  }

  @Override
  public boolean isLeaving() {
    return behaviour.leaving();
  }
}
