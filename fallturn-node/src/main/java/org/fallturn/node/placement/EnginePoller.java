package org.fallturn.node.placement;

import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.placement.EngineListing;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.LoadReport;
import org.fallturn.node.http.JsonHttpClient;

/**
 * Asks the engines of one pool for state, load and cache events, each kind at a bounded rate and
 * with at most one question of a kind to an engine under way. Used by the leaders' duty thread;
 * answers come back as events.
 */
final class EnginePoller {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final int REPORT_FACTOR = 2;
  private static final int HASTE_FACTOR = 4;

  /** What an engine is asked. */
  enum Kind {
    /** Its exact state. */
    STATE,
    /** Its load. */
    LOAD,
    /** Its cache events. */
    CACHE
  }

  private final PoolId pool;
  private final Epoch epoch;
  private final JsonHttpClient client;
  private final long intervalNanos;
  private final ToLongFunction<EngineId> lastCacheEvent;
  private final Consumer<LeaderEvent> events;
  private final Map<EngineId, Schedule> schedules = new HashMap<>();
  private List<EngineListing> listing = List.of();

  EnginePoller(
      PoolId pool,
      Epoch epoch,
      JsonHttpClient client,
      Duration interval,
      ToLongFunction<EngineId> lastCacheEvent,
      Consumer<LeaderEvent> events) {
    this.pool = pool;
    this.epoch = epoch;
    this.client = client;
    this.intervalNanos = interval.toNanos();
    this.lastCacheEvent = lastCacheEvent;
    this.events = events;
  }

  void onListing(List<EngineListing> newListing) {
    listing = newListing;
    schedules
        .keySet()
        .removeIf(engine -> listing.stream().noneMatch(l -> l.engine().equals(engine)));
  }

  /** Asks an engine for its state soon, because something about it is in doubt. */
  void hasten(EngineId engine, long nowNanos) {
    Schedule schedule = scheduleOf(engine);
    long soon = schedule.lastAskedNanos(Kind.STATE) + intervalNanos / HASTE_FACTOR;
    schedule.due(Kind.STATE, Math.max(nowNanos, soon));
  }

  void answered(EngineId engine, Kind kind) {
    scheduleOf(engine).outstanding.put(kind, false);
  }

  void poll(long nowNanos) {
    for (EngineListing entry : listing) {
      Schedule schedule = scheduleOf(entry.engine());
      for (Kind kind : Kind.values()) {
        if (schedule.isDue(kind, nowNanos)) {
          long interval = kind == Kind.STATE ? intervalNanos : REPORT_FACTOR * intervalNanos;
          schedule.asked(kind, nowNanos, interval);
          ask(entry, kind);
        }
      }
    }
  }

  private Schedule scheduleOf(EngineId engine) {
    return schedules.computeIfAbsent(engine, key -> new Schedule());
  }

  private void ask(EngineListing entry, Kind kind) {
    EngineId engine = entry.engine();
    switch (kind) {
      case STATE -> get(entry, kind, "/v1/state", EngineState.class, this::stateRead);
      case LOAD -> get(entry, kind, "/v1/load", LoadReport.class, this::loadRead);
      case CACHE ->
          get(
              entry,
              kind,
              "/v1/cache-events?after=" + lastCacheEvent.applyAsLong(engine),
              CacheEvents.class,
              told -> new LeaderEvent.CacheRead(pool, epoch, engine, told));
      default -> throw new IllegalArgumentException("unknown kind " + kind);
    }
  }

  private LeaderEvent stateRead(EngineState state) {
    return new LeaderEvent.StateRead(pool, epoch, state);
  }

  private LeaderEvent loadRead(LoadReport report) {
    return new LeaderEvent.LoadRead(pool, epoch, report);
  }

  private <A> void get(
      EngineListing entry,
      Kind kind,
      String path,
      Class<A> type,
      Function<A, LeaderEvent> toEvent) {
    client
        .get(entry.address(), path, type, TIMEOUT)
        .whenComplete(
            (answer, failure) -> {
              LeaderEvent failed = new LeaderEvent.PollFailed(pool, epoch, entry.engine(), kind);
              events.accept(failure == null ? toEvent.apply(answer) : failed);
            });
  }

  /** When an engine is asked what. */
  private static final class Schedule {
    private final Map<Kind, Long> due = new EnumMap<>(Kind.class);
    private final Map<Kind, Long> asked = new EnumMap<>(Kind.class);
    private final Map<Kind, Boolean> outstanding = new EnumMap<>(Kind.class);

    boolean isDue(Kind kind, long nowNanos) {
      return !outstanding.getOrDefault(kind, false)
          && nowNanos >= due.getOrDefault(kind, Long.MIN_VALUE);
    }

    void due(Kind kind, long nanos) {
      due.merge(kind, nanos, Math::min);
    }

    void asked(Kind kind, long nowNanos, long intervalNanos) {
      outstanding.put(kind, true);
      asked.put(kind, nowNanos);
      due.put(kind, nowNanos + intervalNanos);
    }

    long lastAskedNanos(Kind kind) {
      return asked.getOrDefault(kind, 0L);
    }
  }
}
