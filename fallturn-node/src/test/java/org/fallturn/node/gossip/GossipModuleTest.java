package org.fallturn.node.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.membership.GossipBody;
import org.fallturn.core.membership.GossipMessage;
import org.fallturn.core.membership.GossipParameters;
import org.fallturn.core.membership.Member;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class GossipModuleTest {

  private static final byte[] KEY = "secret".getBytes(StandardCharsets.UTF_8);
  private static final NetworkAddress ANY_PORT = new NetworkAddress("127.0.0.1", 0);
  private static final RegionName REGION = new RegionName("r");
  private static final ZoneName ZONE = new ZoneName("z");
  private static final GossipParameters FAST =
      GossipParameters.defaults()
          .withDetection(Duration.ofMillis(300), Duration.ofMillis(150), Duration.ofSeconds(2));

  private final List<GossipModule> modules = new ArrayList<>();

  @AfterEach
  void closeAll() throws Exception {
    for (GossipModule module : modules) {
      module.close();
    }
  }

  @Test
  void nodesFindEachOtherLeaveAndDie() throws Exception {
    GossipModule a = start("a");
    GossipModule b = start("b");
    GossipModule c = start("c");
    seedAll();
    awaitState(a, "c", Optional.of(Member.State.ALIVE));
    awaitState(c, "b", Optional.of(Member.State.ALIVE));
    b.announceLeaving();
    awaitState(a, "b", Optional.of(Member.State.LEAVING));
    awaitState(c, "b", Optional.of(Member.State.LEAVING));
    c.abort();
    awaitState(a, "c", Optional.empty());
  }

  @Test
  void higherConfigurationVersionOfAPeerIsNoticed() throws Exception {
    GossipModule a = start("a");
    AtomicLong noticed = new AtomicLong();
    GossipModule b = create("b", KEY);
    b.addConfigurationNotice((peer, version) -> noticed.set(version));
    b.start();
    seedAll();
    awaitState(a, "b", Optional.of(Member.State.ALIVE));
    a.configurationVersion(41);
    await().atMost(Duration.ofSeconds(30)).until(() -> noticed.get() == 41);
  }

  @Test
  void garbageWrongKeyAndReplayAreCountedAndHaveNoEffect() throws Exception {
    GossipModule a = start("a");
    DatagramCodec codec = new DatagramCodec(new JsonCodec(), KEY);
    DatagramCodec stranger = new DatagramCodec(new JsonCodec(), new byte[] {1});
    GossipMessage ping = message("x", "a", 1);
    send(a, new byte[] {1, 2, 3});
    send(a, stranger.encode(ping));
    send(a, codec.encode(ping));
    send(a, codec.encode(ping));
    send(a, codec.encode(message("x", "another", 2)));
    await()
        .atMost(Duration.ofSeconds(30))
        .untilAsserted(
            () -> {
              assertThat(a.traffic().malformed()).isEqualTo(1);
              assertThat(a.traffic().notAuthentic()).isEqualTo(1);
              assertThat(a.traffic().messagesReceived()).isEqualTo(3);
              assertThat(a.traffic().replayed()).isEqualTo(2);
            });
    assertThat(a.view().members()).containsOnlyKeys(new NodeId("a"));
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    GossipMeters.register(registry, a);
    assertThat(registry.get("fallturn.gossip.replayed").functionCounter().count()).isEqualTo(2);
    assertThat(registry.get("fallturn.members").tag("state", "ALIVE").gauge().value()).isEqualTo(1);
  }

  @Test
  void nodeWithAnotherKeyIsNotAMember() throws Exception {
    GossipModule a = start("a");
    GossipModule intruder = create("i", new byte[] {9});
    intruder.start();
    seedAll();
    await().atMost(Duration.ofSeconds(30)).until(() -> a.traffic().notAuthentic() > 3);
    assertThat(a.view().members()).containsOnlyKeys(new NodeId("a"));
  }

  private static void awaitState(GossipModule observer, String node, Optional<Member.State> state) {
    await()
        .atMost(Duration.ofSeconds(60))
        .until(() -> observer.view().member(new NodeId(node)).map(Member::state), state::equals);
  }

  private static GossipMessage message(String from, String to, long sequence) {
    return new GossipMessage(
        new NodeId(from), 1, sequence, new NodeId(to), 0, 0, new GossipBody.Ping(1), List.of());
  }

  private static void send(GossipModule to, byte[] datagram) throws Exception {
    try (DatagramSocket socket = new DatagramSocket()) {
      InetAddress host = InetAddress.getByName(to.address().host());
      socket.send(new DatagramPacket(datagram, datagram.length, host, to.address().port()));
    }
  }

  private GossipModule start(String node) throws Exception {
    GossipModule module = create(node, KEY);
    module.start();
    return module;
  }

  private GossipModule create(String node, byte[] key) throws Exception {
    GossipIdentity identity =
        new GossipIdentity(new NodeId(node), REGION, ZONE, ANY_PORT, ANY_PORT);
    GossipModule module = new GossipModule(FAST, identity, ANY_PORT, key, new JsonCodec());
    modules.add(module);
    return module;
  }

  private void seedAll() {
    List<Machine> machines = new ArrayList<>();
    for (GossipModule module : modules) {
      machines.add(
          new Machine(
              module.view().self().value(),
              Machine.Kind.NODE,
              REGION,
              ZONE,
              ANY_PORT,
              Optional.of(module.address()),
              Optional.empty(),
              Optional.empty(),
              Machine.State.LIVE));
    }
    modules.forEach(module -> module.machineList(new MachineList(1, machines)));
  }
}
