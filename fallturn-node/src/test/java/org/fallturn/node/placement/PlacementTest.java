package org.fallturn.node.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.placement.PlacementProgress.Stage;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.placement.PoolDigest;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.roles.EngineObservation;
import org.fallturn.core.roles.KeepRoles;
import org.fallturn.core.roles.RoleChange;
import org.fallturn.core.roles.RolePolicy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlacementTest {
  private static final Duration PATIENCE = Duration.ofSeconds(30);

  private final ConcurrentHashMap<PoolId, PoolDigest> digests = new ConcurrentHashMap<>();
  private final FakeEngines engines = new FakeEngines();
  private EngineId prefill;
  private EngineId decode;

  @BeforeEach
  void startEngines() throws Exception {
    prefill = engines.add("prefill", EngineRole.PREFILL);
    decode = engines.add("decode", EngineRole.DECODE);
  }

  @AfterEach
  void stopEngines() throws Exception {
    engines.close();
  }

  @Test
  void aRemoteLeaderPlacesAndHoldsBackWhatMustWait() throws Exception {
    try (PlacementNode leader = PlacementNode.keepingRoles("leader", engines, digests, 1);
        PlacementNode caller = PlacementNode.keepingRoles("caller", engines, digests, 1)) {
      leader.lead(1);
      await().atMost(PATIENCE).until(() -> !digests.isEmpty());

      PlacementAnswer.Placed first = placed(ask(caller, "first"));
      assertThat(first.epoch()).isEqualTo(new Epoch(1));
      assertThat(first.decode().engine()).isEqualTo(decode);
      assertThat(first.prefill().orElseThrow().engine()).isEqualTo(prefill);

      CompletableFuture<PlacementAnswer> second = ask(caller, "second");
      awaitQueued(1);
      CompletableFuture<PlacementAnswer> local = ask(leader, "local");
      awaitQueued(2);
      report(caller, "first", Stage.COMPLETED);
      assertThat(placed(second).epoch()).isEqualTo(new Epoch(1));
      assertThat(local).isNotDone();
      report(caller, "second", Stage.ABANDONED);
      assertThat(placed(local).epoch()).isEqualTo(new Epoch(1));
      assertThat(caller.withoutLeader() + leader.withoutLeader()).isZero();
    }
  }

  @Test
  void withoutAnyLeaderItPlacesFromTheEnginesOwnStates() throws Exception {
    try (PlacementNode caller = PlacementNode.keepingRoles("caller", engines, digests, 4)) {
      PlacementAnswer.Placed answer = placed(ask(caller, "request"));

      assertThat(answer.epoch()).isEqualTo(Epoch.NONE);
      assertThat(answer.decode().engine()).isEqualTo(decode);
      assertThat(caller.withoutLeader()).isEqualTo(1);
    }
  }

  @Test
  void aLeaderThatAcceptsConnectionsButStaysSilentIsNotWaitedFor() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        PlacementNode caller =
            new PlacementNode(
                "caller",
                engines,
                engines.machines(),
                digests,
                PlacementNode.parameters(4),
                new KeepRoles(),
                Duration.ofMillis(200))) {
      digests.put(
          PlacementNode.POOL,
          new PoolDigest(
              PlacementNode.POOL,
              new Epoch(7),
              1,
              new NodeId("paused"),
              new NetworkAddress("127.0.0.1", silent.getLocalPort()),
              1,
              1,
              1000,
              4,
              0));

      assertThat(placed(ask(caller, "request")).epoch()).isEqualTo(Epoch.NONE);
      assertThat(caller.withoutLeader()).isEqualTo(1);
    }
  }

  @Test
  void thoseWhoWaitForALostLeadershipArePlacedWithoutIt() throws Exception {
    try (PlacementNode leader = PlacementNode.keepingRoles("leader", engines, digests, 1);
        PlacementNode caller = PlacementNode.keepingRoles("caller", engines, digests, 1)) {
      leader.lead(1);
      await().atMost(PATIENCE).until(() -> !digests.isEmpty());
      placed(ask(caller, "first"));
      CompletableFuture<PlacementAnswer> waiting = ask(caller, "waiting");

      leader.lose(1);

      assertThat(placed(waiting).epoch()).isEqualTo(Epoch.NONE);
    }
  }

  @Test
  void withoutALeaderACapOnEachEngineHolds() throws Exception {
    try (PlacementNode caller = PlacementNode.keepingRoles("caller", engines, digests, 4)) {
      int cap = LeaderlessFallback.MAX_IN_FLIGHT_PER_ENGINE;
      for (int index = 0; index < cap; index++) {
        placed(ask(caller, "request-" + index));
      }

      PlacementAnswer refused = answer(ask(caller, "too-many"));
      assertThat(refused).isInstanceOf(PlacementAnswer.Refused.class);
      assertThat(((PlacementAnswer.Refused) refused).kind()).isEqualTo(ErrorKind.NO_CAPACITY);

      report(caller, "request-0", Stage.COMPLETED);
      assertThat(placed(ask(caller, "next")).epoch()).isEqualTo(Epoch.NONE);
    }
  }

  @Test
  void aRoleChangeIsOrderedOnlyOnceTheEngineIsIdle() throws Exception {
    EngineId second = engines.add("second", EngineRole.DECODE);
    RoleChange change = new RoleChange(second, EngineRole.PREFILL);
    Set<EngineObservation.Availability> seen = ConcurrentHashMap.newKeySet();
    RolePolicy policy =
        (observation, record) -> {
          observation.engines().stream()
              .filter(engine -> engine.engine().equals(second))
              .forEach(engine -> seen.add(engine.availability()));
          boolean wanted = engines.roles.get(second) == EngineRole.DECODE;
          return wanted ? List.of(change) : List.of();
        };
    try (PlacementNode leader =
        new PlacementNode(
            "leader",
            engines,
            engines.machines(),
            digests,
            PlacementNode.parameters(1),
            policy,
            PlacementNode.LONG_TIMEOUT)) {
      leader.lead(1);
      await().atMost(PATIENCE).until(() -> !digests.isEmpty());
      placed(ask(leader, "a"));
      placed(ask(leader, "b"));
      await().atMost(PATIENCE).until(() -> seen.contains(EngineObservation.Availability.DRAINING));
      assertThat(leader.orders).isEmpty();

      report(leader, "a", Stage.COMPLETED);
      report(leader, "b", Stage.COMPLETED);

      await()
          .atMost(PATIENCE)
          .untilAsserted(
              () ->
                  assertThat(leader.orders)
                      .containsExactly(new EngineCommand.ChangeRole(EngineRole.PREFILL)));
      PlacementAnswer.Placed next = placed(ask(leader, "c"));
      assertThat(next.decode().engine()).isEqualTo(decode);
    }
  }

  private void awaitQueued(int count) {
    await().atMost(PATIENCE).until(() -> digests.get(PlacementNode.POOL).queued() == count);
  }

  private static CompletableFuture<PlacementAnswer> ask(PlacementNode node, String id) {
    PlacementRequest request =
        new PlacementRequest(
            new RequestId(id),
            0,
            new TenantName("tenant"),
            1,
            FakeEngines.MODEL,
            "",
            Urgency.NORMAL,
            500,
            List.of(),
            20,
            2 * PATIENCE.toMillis(),
            Set.of());
    return node.client.place(request).toCompletableFuture();
  }

  private static void report(PlacementNode node, String id, Stage stage) {
    node.client.report(new PlacementProgress(PlacementNode.POOL, new RequestId(id), 0, stage, 20));
  }

  private static PlacementAnswer answer(CompletableFuture<PlacementAnswer> call) throws Exception {
    return call.get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
  }

  private static PlacementAnswer.Placed placed(CompletableFuture<PlacementAnswer> call)
      throws Exception {
    PlacementAnswer answer = answer(call);
    assertThat(answer).isInstanceOf(PlacementAnswer.Placed.class);
    return (PlacementAnswer.Placed) answer;
  }
}
