package org.fallturn.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.junit.jupiter.api.Test;

class PoolMapTest {
  private static final ModelName MODEL = new ModelName("model");

  private final List<Machine> machines = new ArrayList<>();

  @Test
  void mergesTheFewEnginesOfARegion() {
    add("east", "lakua", 2);
    add("east", "arriaga", 2);
    add("west", "capital", 3);

    PoolMap map = PoolMap.of(new MachineList(1, machines), 4, 64);

    PoolId merged = new PoolId(new ZoneName("arriaga"), MODEL, 0);
    assertThat(map.pools(new ZoneName("lakua"), MODEL)).containsExactly(merged);
    assertThat(map.engines(merged)).hasSize(4);
    assertThat(map.poolOf(new EngineId("lakua-1"))).contains(merged);
  }

  @Test
  void splitsPastTheBoundAndKeepsEveryEngineOnce() {
    add("east", "lakua", 100);

    PoolMap map = PoolMap.of(new MachineList(1, machines), 4, 64);

    assertThat(map.pools()).hasSize(2);
    assertThat(map.pools().stream().mapToInt(pool -> map.engines(pool).size()).sum())
        .isEqualTo(100);
  }

  @Test
  void oneEngineMoreMovesNoOther() {
    add("east", "lakua", 100);
    PoolMap before = PoolMap.of(new MachineList(1, machines), 4, 64);
    add("east", "lakua-annex", 1);
    machines.set(100, engine("east", "lakua", "one-more"));
    PoolMap after = PoolMap.of(new MachineList(2, machines), 4, 64);

    for (Machine machine : machines.subList(0, 100)) {
      EngineId engine = new EngineId(machine.id());
      assertThat(after.poolOf(engine)).isEqualTo(before.poolOf(engine));
    }
  }

  @Test
  void asksTheOwnZoneFirstThenNearPoolsWithRoom() {
    add("east", "lakua", 2);
    add("east", "arriaga", 2);
    add("east", "jundiz", 2);
    add("west", "capital", 2);
    PoolMap map = PoolMap.of(new MachineList(1, machines), 1, 64);
    Map<PoolId, PoolDigest> digests =
        Map.of(
            pool("arriaga"), digest("arriaga", 0, 3),
            pool("jundiz"), digest("jundiz", 5, 0),
            pool("capital"), digest("capital", 9, 0));

    List<PoolId> order =
        new SpillPlan(new ZoneName("lakua"), new RegionName("east"))
            .order(map, MODEL, digests, new Random(1));

    assertThat(order).containsExactly(pool("lakua"), pool("jundiz"), pool("capital"));
  }

  private static PoolId pool(String zone) {
    return new PoolId(new ZoneName(zone), MODEL, 0);
  }

  private static PoolDigest digest(String zone, int freeSlots, int queued) {
    return new PoolDigest(
        pool(zone),
        new Epoch(1),
        1,
        new NodeId("node"),
        new NetworkAddress("127.0.0.1", 1),
        1,
        1,
        100,
        freeSlots,
        queued);
  }

  private void add(String region, String zone, int count) {
    for (int index = 0; index < count; index++) {
      machines.add(engine(region, zone, zone + "-" + index));
    }
  }

  private static Machine engine(String region, String zone, String id) {
    return new Machine(
        id,
        Machine.Kind.ENGINE,
        new RegionName(region),
        new ZoneName(zone),
        new NetworkAddress("127.0.0.1", 1),
        Optional.empty(),
        Optional.of(MODEL),
        Optional.empty(),
        Machine.State.LIVE);
  }
}
