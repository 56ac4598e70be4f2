package org.fallturn.node.operators;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.PoolPolicyRecord;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.lease.Authority;
import org.fallturn.core.query.LiveRows;
import org.fallturn.core.roles.EngineObservation;
import org.fallturn.core.roles.PoolObservation;
import org.fallturn.core.roles.RoleChange;
import org.fallturn.core.roles.RolePolicy;
import org.fallturn.core.roles.UrgencyObservation;
import org.junit.jupiter.api.Test;

class PoolTablesTest {

  private static final PoolId LED = PoolId.parse("lakua/suggest-7b/0");
  private static final PoolId LOST = PoolId.parse("lakua/summary-70b/0");
  private static final PoolPolicyRecord POLICY = new PoolPolicyRecord(LED.model(), 0, 1, 1, 1, "");
  private static final long NOW_NANOS = TimeUnit.SECONDS.toNanos(100);

  private final PoolBoard board = new PoolBoard();
  private final TableRegistry registry = new TableRegistry(() -> ConfigurationImage.EMPTY);

  PoolTablesTest() {
    Authority authority =
        new Authority(new Epoch(7), NOW_NANOS - 1_000_000, NOW_NANOS + TimeUnit.SECONDS.toNanos(2));
    new PoolTables(
            new NodeId("lakua-1"),
            board,
            List::of,
            () -> Map.of(LED, authority),
            () -> ConfigurationImage.EMPTY,
            () -> NOW_NANOS)
        .register(registry);
  }

  @Test
  void enginesAreThoseOfPoolsLedNowWithAgeOfObservation() {
    observe(LED, TimeUnit.MILLISECONDS.toNanos(400));
    observe(LOST, TimeUnit.SECONDS.toNanos(50));

    LiveRows engines = registry.find("engines").orElseThrow().read();

    assertThat(engines.ageMillis()).isEqualTo(400);
    assertThat(engines.rows()).hasSize(1);
    assertThat(engines.rows().get(0).get(0).text()).isEqualTo("engine-of-suggest-7b");
    assertThat(engines.rows().get(0).get(5).text()).isEqualTo("DRAINING");
  }

  @Test
  void waitingRequestsAndDecidedChangesAreShown() {
    observe(LED, 0);

    assertThat(registry.find("requests").orElseThrow().read().rows().get(0).get(2).text())
        .isEqualTo("4");
    assertThat(registry.find("role_changes").orElseThrow().read().rows().get(0).get(2).text())
        .isEqualTo("PREFILL");
  }

  @Test
  void leaseShowsExtensionByWitnesses() {
    var row = registry.find("leases").orElseThrow().read().rows().get(0);

    assertThat(row.get(2).text()).isEqualTo("7");
    assertThat(row.get(3).text()).isEqualTo("-1");
    assertThat(row.get(4).text()).isEqualTo("2000");
    assertThat(row.get(5).text()).isEqualTo("true");
  }

  private void observe(PoolId pool, long ageNanos) {
    EngineId engine = new EngineId("engine-of-" + pool.model());
    EngineObservation seen =
        new EngineObservation(
            engine, EngineRole.DECODE, EngineObservation.Availability.DRAINING, 3, 100, 50);
    PoolObservation observation =
        new PoolObservation(
            pool,
            NOW_NANOS - ageNanos,
            1,
            0,
            0,
            0,
            0,
            0,
            0,
            0,
            0,
            List.of(new UrgencyObservation(Urgency.HIGH, 4, 10, 20, 300)),
            List.of(seen),
            null);
    RolePolicy policy = (told, operators) -> List.of(new RoleChange(engine, EngineRole.PREFILL));
    board.listenTo(asked -> policy).apply(pool).decide(observation, POLICY);
  }
}
