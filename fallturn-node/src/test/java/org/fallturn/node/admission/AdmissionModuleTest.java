package org.fallturn.node.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.admission.AdmissionTicket;
import org.fallturn.core.admission.QuotaParameters;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.RuleRecord;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Three nodes in one process that talk over real sockets. */
class AdmissionModuleTest {

  private static final TenantName TENANT = new TenantName("lakua");
  private static final ServiceName SERVICE = new ServiceName("chat");
  private static final QuotaParameters PARAMETERS =
      QuotaParameters.of(Duration.ofSeconds(10), Duration.ofMillis(200));
  private static final int MAX_CONCURRENT = 12;

  private final HttpClient http = new HttpClient();
  private final Map<NodeId, Member> members = new HashMap<>();
  private final List<AdmissionModule> modules = new ArrayList<>();
  private final List<HttpListener> listeners = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    http.start();
    for (int index = 0; index < 3; index++) {
      add(new NodeId("node-" + index));
    }
    modules.forEach(AdmissionModule::start);
  }

  @AfterEach
  void stop() throws Exception {
    modules.forEach(AdmissionModule::close);
    for (HttpListener listener : listeners) {
      listener.close();
    }
    http.stop();
  }

  @Test
  void oneNodeGetsNearlyTheWholeLimitAndNoMore() {
    List<AdmissionTicket> tickets = new ArrayList<>();
    await()
        .atMost(Duration.ofSeconds(30))
        .until(() -> tryAdmit(modules.get(0), tickets) >= MAX_CONCURRENT - 1);
    for (AdmissionModule module : modules) {
      tryAdmit(module, tickets);
    }
    assertThat(tickets).hasSizeLessThanOrEqualTo(MAX_CONCURRENT);
  }

  @Test
  void freedCapacityMovesToAnotherNode() {
    List<AdmissionTicket> here = new ArrayList<>();
    await()
        .atMost(Duration.ofSeconds(30))
        .until(() -> tryAdmit(modules.get(0), here) >= MAX_CONCURRENT - 1);
    here.forEach(ticket -> ticket.finished(0));
    List<AdmissionTicket> there = new ArrayList<>();
    await()
        .atMost(Duration.ofSeconds(30))
        .until(() -> tryAdmit(modules.get(1), there) >= MAX_CONCURRENT - 1);
  }

  @Test
  void unknownTenantIsRefusedWithAdviceWhenToComeBack() {
    assertThatThrownBy(() -> modules.get(0).admit(new TenantName("nobody"), SERVICE, 1))
        .isInstanceOfSatisfying(
            FallturnException.class,
            error -> {
              assertThat(error.kind()).isEqualTo(ErrorKind.LIMIT_REACHED);
              assertThat(error.retryAfter()).isPresent();
            });
  }

  /** Admits one more if there is room; gives the number held. */
  private static int tryAdmit(AdmissionModule module, List<AdmissionTicket> tickets)
      throws RuntimeException {
    try {
      AdmissionTicket ticket =
          module.admitSoon(TENANT, SERVICE, 1).toCompletableFuture().get(20, TimeUnit.SECONDS);
      ticket.placed();
      tickets.add(ticket);
    } catch (java.util.concurrent.ExecutionException e) {
      assertThat(e.getCause()).isInstanceOf(FallturnException.class);
    } catch (InterruptedException | java.util.concurrent.TimeoutException e) {
      throw new IllegalStateException(e);
    }
    return tickets.size();
  }

  private void add(NodeId node) throws Exception {
    JsonCodec codec = new JsonCodec();
    AdmissionModule module =
        new AdmissionModule(
            node,
            PARAMETERS,
            new AdmissionModule.Sources(
                () -> new MembershipView(node, members),
                () -> new MachineList(1, List.of()),
                AdmissionModuleTest::image),
            new JsonHttpClient(http, codec),
            new SimpleMeterRegistry());
    HttpRouter router = new HttpRouter(codec);
    module.addRoutes(router);
    HttpListener listener =
        new HttpListener(node.value(), new NetworkAddress("127.0.0.1", 0), 8, router);
    listeners.add(listener);
    modules.add(module);
    members.put(
        node,
        new Member(
            node,
            new RegionName("r"),
            new ZoneName("z"),
            listener.address(),
            listener.address(),
            1,
            Member.State.ALIVE,
            1));
  }

  private static ConfigurationImage image() {
    return IMAGE;
  }

  private static final ConfigurationImage IMAGE =
      new ConfigurationImage(
          1,
          Map.of(TENANT.value(), new TenantRecord(TENANT, 1000, 1e6, MAX_CONCURRENT, 100, 1)),
          Map.of(),
          Map.of(),
          Map.of("lakua/chat", new RuleRecord(TENANT, SERVICE, 1000, 1e6, Urgency.NORMAL, "")),
          Map.of(),
          Map.of(),
          Map.of());
}
