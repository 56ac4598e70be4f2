package org.fallturn.node.operators;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.Authority;
import org.fallturn.core.placement.PoolDigest;
import org.fallturn.core.query.Column;
import org.fallturn.core.query.LiveRows;
import org.fallturn.core.query.LiveTable;
import org.fallturn.core.query.Row;
import org.fallturn.core.query.TableSchema;
import org.fallturn.core.roles.EngineObservation;
import org.fallturn.core.roles.PoolObservation;
import org.fallturn.core.roles.UrgencyObservation;

/** Tables of the pools: pools, leases, engines, requests, role_changes. */
public final class PoolTables {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private static final TableSchema POOLS =
      TableSchema.of(
          "pools",
          Column.text("pool"),
          Column.text("zone"),
          Column.text("model"),
          Column.text("leader"),
          Column.integer("epoch"),
          Column.integer("prefill_engines"),
          Column.integer("decode_engines"),
          Column.integer("free_prefill_tokens"),
          Column.integer("free_decode_slots"),
          Column.integer("queued"));

  private static final TableSchema LEASES =
      TableSchema.of(
          "leases",
          Column.text("pool"),
          Column.text("holder"),
          Column.integer("epoch"),
          Column.integer("lease_ends_in_ms"),
          Column.integer("orders_end_in_ms"),
          Column.bool("extended_by_witnesses"));

  private static final TableSchema ENGINES =
      TableSchema.of(
          "engines",
          Column.text("engine"),
          Column.text("pool"),
          Column.text("zone"),
          Column.text("model"),
          Column.text("role"),
          Column.text("availability"),
          Column.integer("in_flight_requests"),
          Column.integer("in_flight_prompt_tokens"),
          Column.integer("in_flight_output_tokens"),
          Column.bool("drained"));

  private static final TableSchema REQUESTS =
      TableSchema.of(
          "requests",
          Column.text("pool"),
          Column.text("urgency"),
          Column.integer("queued_requests"),
          Column.integer("queued_prompt_tokens"),
          Column.integer("queued_output_tokens"),
          Column.integer("earliest_slack_ms"));

  private static final TableSchema ROLE_CHANGES =
      TableSchema.of(
          "role_changes",
          Column.text("pool"),
          Column.text("engine"),
          Column.text("new_role"),
          Column.text("decided_at"),
          Column.text("decided_by"));

  private final NodeId self;
  private final PoolBoard board;
  private final Supplier<? extends Collection<PoolDigest>> digests;
  private final Supplier<Map<PoolId, Authority>> authorities;
  private final Supplier<ConfigurationImage> configuration;
  private final LongSupplier nanoClock;

  /**
   * Tables over what this node knows of pools.
   *
   * @param authorities the leases this node holds
   * @param nanoClock the monotonic clock that leases and observations go by
   */
  public PoolTables(
      NodeId self,
      PoolBoard board,
      Supplier<? extends Collection<PoolDigest>> digests,
      Supplier<Map<PoolId, Authority>> authorities,
      Supplier<ConfigurationImage> configuration,
      LongSupplier nanoClock) {
    this.self = self;
    this.board = board;
    this.digests = digests;
    this.authorities = authorities;
    this.configuration = configuration;
    this.nanoClock = nanoClock;
  }

  /** Registers all of them. */
  public void register(TableRegistry registry) {
    registry.register(new SuppliedTable(POOLS, LiveTable.Scope.THIS_NODE, this::pools));
    registry.register(new SuppliedTable(LEASES, LiveTable.Scope.LEADERS, this::leases));
    registry.register(new SuppliedTable(ENGINES, LiveTable.Scope.LEADERS, this::engines));
    registry.register(new SuppliedTable(REQUESTS, LiveTable.Scope.LEADERS, this::requests));
    registry.register(new SuppliedTable(ROLE_CHANGES, LiveTable.Scope.LEADERS, this::roleChanges));
  }

  private LiveRows pools() {
    List<Row> rows = new ArrayList<>();
    for (PoolDigest digest : digests.get()) {
      rows.add(
          Row.of(
              digest.pool(),
              digest.pool().zone(),
              digest.pool().model(),
              digest.leader(),
              digest.epoch().value(),
              digest.prefillEngines(),
              digest.decodeEngines(),
              digest.freePrefillTokens(),
              digest.freeDecodeSlots(),
              digest.queued()));
    }
    return LiveRows.current(rows);
  }

  private LiveRows leases() {
    long now = nanoClock.getAsLong();
    List<Row> rows = new ArrayList<>();
    authorities
        .get()
        .forEach(
            (pool, authority) ->
                rows.add(
                    Row.of(
                        pool,
                        self,
                        authority.epoch().value(),
                        (authority.leaseEndNanos() - now) / NANOS_PER_MILLI,
                        (authority.validUntilNanos() - now) / NANOS_PER_MILLI,
                        authority.isExtended(now))));
    return LiveRows.current(rows);
  }

  private LiveRows engines() {
    List<Row> rows = new ArrayList<>();
    for (PoolObservation observation : ledNow()) {
      for (EngineObservation engine : observation.engines()) {
        rows.add(
            Row.of(
                engine.engine(),
                observation.pool(),
                observation.pool().zone(),
                observation.pool().model(),
                engine.role(),
                engine.availability(),
                engine.inFlightRequests(),
                engine.inFlightPromptTokens(),
                engine.inFlightOutputTokens(),
                configuration.get().isDrained(engine.engine().value())));
      }
    }
    return new LiveRows(rows, oldestAgeMillis());
  }

  private LiveRows requests() {
    List<Row> rows = new ArrayList<>();
    for (PoolObservation observation : ledNow()) {
      for (UrgencyObservation queue : observation.queues()) {
        rows.add(
            Row.of(
                observation.pool(),
                queue.urgency(),
                queue.queuedRequests(),
                queue.queuedPromptTokens(),
                queue.queuedOutputTokens(),
                queue.earliestSlackMillis()));
      }
    }
    return new LiveRows(rows, oldestAgeMillis());
  }

  private LiveRows roleChanges() {
    List<Row> rows = new ArrayList<>();
    for (PoolBoard.Decision decision : board.decisions()) {
      rows.add(
          Row.of(
              decision.pool(),
              decision.change().engine(),
              decision.change().role(),
              decision.at(),
              self));
    }
    return LiveRows.current(rows);
  }

  private List<PoolObservation> ledNow() {
    Map<PoolId, Authority> led = authorities.get();
    return board.observations().values().stream()
        .filter(observation -> led.containsKey(observation.pool()))
        .toList();
  }

  private long oldestAgeMillis() {
    long now = nanoClock.getAsLong();
    return ledNow().stream()
        .mapToLong(observation -> (now - observation.observedAtNanos()) / NANOS_PER_MILLI)
        .max()
        .orElse(0);
  }
}
