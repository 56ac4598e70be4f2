package org.fallturn.node.machines;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class MachineListModuleTest {

  private static final NetworkAddress ANY_PORT = new NetworkAddress("127.0.0.1", 0);
  private static final ZoneName ZONE = new ZoneName("z");

  private final JsonCodec codec = new JsonCodec();
  private final List<AutoCloseable> started = new ArrayList<>();
  private volatile MachineList list = list(1, "e1", "e2");
  private volatile boolean down;
  private JsonHttpClient client;
  private NetworkAddress platform;

  @BeforeEach
  void startPlatform() throws Exception {
    HttpClient jetty = new HttpClient();
    jetty.start();
    started.add(jetty::stop);
    client = new JsonHttpClient(jetty, codec);
    HttpRouter router = new HttpRouter(codec);
    router.document(
        "/v1/machines",
        request -> {
          if (down) {
            throw new FallturnException(ErrorKind.STORE_UNAVAILABLE, "down");
          }
          return CompletableFuture.completedFuture(list);
        });
    platform = listen(router);
  }

  @AfterEach
  void stopAll() throws Exception {
    for (AutoCloseable part : started) {
      part.close();
    }
  }

  @Test
  void lastGoodListStaysDuringAnOutageAndTheNextIsTaken() throws Exception {
    MachineListModule module = module("a", platform);
    await().atMost(Duration.ofSeconds(30)).until(() -> module.get().version() == 1);
    down = true;
    await().atMost(Duration.ofSeconds(30)).until(() -> module.platformFailures() > 0);
    assertThat(module.get()).isEqualTo(list);
    list = list(2, "e2", "e3");
    down = false;
    await().atMost(Duration.ofSeconds(30)).until(() -> module.get().equals(list));
  }

  @Test
  void peerThatHasANewerListHandsOnTheChange() throws Exception {
    MachineListModule reader = module("a", platform);
    HttpRouter router = new HttpRouter(codec);
    reader.addTo(router);
    NetworkAddress peer = listen(router);
    await().atMost(Duration.ofSeconds(30)).until(() -> reader.get().version() == 1);
    MachineListModule other = module("b", new NetworkAddress("127.0.0.1", 1));
    other.onNewerVersion(member("a", peer), 1);
    await().atMost(Duration.ofSeconds(30)).until(() -> other.get().version() == 1);
    list = list(2, "e2", "e3");
    await().atMost(Duration.ofSeconds(30)).until(() -> reader.get().version() == 2);
    assertThat(reader.answer(new MachineListQuery(1)).removed()).containsExactly("e1");
    other.onNewerVersion(member("a", peer), 2);
    await().atMost(Duration.ofSeconds(30)).until(() -> other.get().equals(list));
  }

  private MachineListModule module(String node, NetworkAddress address) {
    NodeId self = new NodeId(node);
    MembershipView alone = new MembershipView(self, Map.of(self, member(node, ANY_PORT)));
    MachineListSource source =
        new MachineListSource(address, Duration.ofMillis(50), Duration.ofSeconds(5));
    MachineListModule module = new MachineListModule(client, source, self, ZONE, () -> alone);
    module.start();
    started.add(0, module);
    return module;
  }

  private NetworkAddress listen(HttpRouter router) throws Exception {
    HttpListener listener = new HttpListener("test", ANY_PORT, 8, router);
    started.add(listener);
    return listener.address();
  }

  private static Member member(String node, NetworkAddress peer) {
    return new Member(
        new NodeId(node), new RegionName("r"), ZONE, peer, ANY_PORT, 1, Member.State.ALIVE, 0);
  }

  private static MachineList list(long version, String... engines) {
    List<Machine> machines = new ArrayList<>();
    for (String engine : engines) {
      machines.add(
          new Machine(
              engine,
              Machine.Kind.ENGINE,
              new RegionName("r"),
              ZONE,
              ANY_PORT,
              Optional.empty(),
              Optional.empty(),
              Optional.empty(),
              Machine.State.LIVE));
    }
    return new MachineList(version, machines);
  }
}
