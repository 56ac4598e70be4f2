package org.fallturn.node.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.PlannedChange;
import org.fallturn.core.configuration.ProposedChange;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConfigurationModuleTest {

  private final InMemoryTable table = new InMemoryTable();
  private final Map<NodeId, TestNode> fleet = TestNode.fleet();

  @AfterEach
  void stopAll() throws Exception {
    for (TestNode node : List.copyOf(fleet.values())) {
      node.close();
    }
  }

  @Test
  void acceptedChangeComesIntoForceOnAllNodesOfAllZones() throws Exception {
    List<TestNode> nodes = new ArrayList<>();
    for (int index = 0; index < 8; index++) {
      nodes.add(start("node-" + index, index < 4 ? "lakua" : "jundiz"));
    }

    CommitResult result = put(nodes.get(0), "alava");

    assertThat(result.version()).isEqualTo(1);
    assertThat(nodes.get(0).module().version()).isEqualTo(1);
    await().untilAsserted(() -> assertThat(report(nodes.get(5), 1).inForce()).isEqualTo(8));
    assertThat(report(nodes.get(0), 1).isComplete()).isTrue();
  }

  @Test
  void laggardsAreNamed() throws Exception {
    TestNode first = start("node-0", "lakua");
    TestNode behind = new TestNode("node-1", "lakua", fleet, table);

    put(first, "alava");

    InForceReport report = report(first, 1);
    assertThat(report.nodes()).isEqualTo(2);
    assertThat(report.laggards()).containsExactly("node-1");
    assertThat(behind.module().version()).isZero();
  }

  @Test
  void nodeThatOnlyMachineListKnowsIsCountedAndNamed() throws Exception {
    TestNode first = start("node-0", "lakua");
    TestNode cutOff = new TestNode("node-1", "lakua", fleet, table);
    cutOff.setCutOff(true);
    first.setMachines(
        new MachineList(
            1,
            List.of(
                new Machine(
                    "node-1",
                    Machine.Kind.NODE,
                    new RegionName("alava"),
                    new ZoneName("lakua"),
                    cutOff.nodes().self().peerAddress(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Machine.State.LIVE))));

    put(first, "alava");

    assertThat(report(first, 1).nodes()).isEqualTo(2);
    assertThat(report(first, 1).laggards()).containsExactly("node-1");
  }

  @Test
  void nodeThatStartsDuringStoreOutageGetsItFromPeers() throws Exception {
    TestNode first = start("node-0", "lakua");
    put(first, "alava");
    table.setDown(true);

    TestNode late = start("node-1", "lakua");

    await().until(() -> late.module().isLoaded());
    assertThat(late.module().get().tenants()).containsKey("alava");
  }

  @Test
  void storeOutageRefusesChangesAsNotRun() throws Exception {
    TestNode first = start("node-0", "lakua");
    table.setDown(true);

    CompletableFuture<CommitResult> change = propose(first, "alava");

    assertThat(failureOf(change).kind()).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
  }

  @Test
  void startReplaysSnapshotPlusTail() throws Exception {
    TestNode first = start("node-0", "lakua");
    for (int index = 0; index < 10; index++) {
      put(first, "tenant-" + index);
    }
    first.close();
    int scannedBefore = table.scannedRows();

    TestNode second = start("node-1", "lakua");

    await().until(() -> second.module().version() == 10);
    assertThat(second.module().get().tenants()).hasSize(10);
    assertThat(table.scannedRows() - scannedBefore).isEqualTo(1);
  }

  @Test
  void nodeCutOffAndHealedNeverServesOlderVersion() throws Exception {
    TestNode first = start("node-0", "lakua");
    TestNode second = start("node-1", "lakua");
    put(first, "alava");
    await().until(() -> second.module().version() == 1);
    List<Long> seen = new ArrayList<>();
    second.module().addListener(image -> seen.add(image.version()));

    second.setCutOff(true);
    for (int index = 0; index < 3; index++) {
      put(first, "tenant-" + index);
    }
    second.setCutOff(false);

    await().until(() -> second.module().version() == 4);
    assertThat(seen).isSorted().doesNotHaveDuplicates();
  }

  @Test
  void olderImageAndSkippingChangeAreNotApplied() {
    AppliedConfiguration applied = new AppliedConfiguration();
    ConfigurationImage third =
        new ConfigurationImage(
            3, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    applied.install(third);

    assertThat(applied.install(ConfigurationImage.EMPTY)).isFalse();
    assertThat(applied.apply(List.of(TestChanges.delta(3), TestChanges.delta(5)))).isFalse();
    assertThat(applied.apply(List.of(TestChanges.delta(4)))).isTrue();
    assertThat(applied.image().version()).isEqualTo(4);
  }

  @Test
  void racingOperatorsGetOneVersionEachOrConflict() throws Exception {
    TestNode first = start("node-0", "lakua");
    TestNode second = start("node-1", "jundiz");
    List<CompletableFuture<CommitResult>> changes = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      changes.add(propose(index % 2 == 0 ? first : second, "tenant-" + index));
    }

    List<Long> versions = new ArrayList<>();
    for (CompletableFuture<CommitResult> change : changes) {
      try {
        versions.add(change.get(30, TimeUnit.SECONDS).version());
      } catch (ExecutionException e) {
        assertThat(((FallturnException) e.getCause()).kind()).isEqualTo(ErrorKind.CONFLICT);
      }
    }

    assertThat(versions).doesNotHaveDuplicates().isNotEmpty();
    long newest = versions.stream().mapToLong(Long::longValue).max().orElseThrow();
    assertThat(newest).isEqualTo(versions.size());
    await().until(() -> second.module().get().tenants().size() == versions.size());
  }

  private TestNode start(String name, String zone) throws Exception {
    TestNode node = new TestNode(name, zone, fleet, table);
    node.module().start();
    return node;
  }

  private static CommitResult put(TestNode node, String tenant) throws Exception {
    return propose(node, tenant).get(30, TimeUnit.SECONDS);
  }

  private static CompletableFuture<CommitResult> propose(TestNode node, String tenant) {
    TenantRecord record = new TenantRecord(new TenantName(tenant), 1, 1, 1, 1, 1);
    ProposedChange change =
        new ProposedChange(
            UUID.randomUUID().toString(),
            "ana",
            "a statement",
            OptionalLong.empty(),
            image -> new PlannedChange(List.of(record), List.of()));
    return node.module().propose(change).toCompletableFuture();
  }

  private static InForceReport report(TestNode node, long version) throws Exception {
    return node.module().inForce(version).toCompletableFuture().get(30, TimeUnit.SECONDS);
  }

  private static FallturnException failureOf(CompletableFuture<?> future) {
    try {
      future.join();
    } catch (CompletionException e) {
      return (FallturnException) e.getCause();
    }
    throw new AssertionError("the future did not fail");
  }
}
