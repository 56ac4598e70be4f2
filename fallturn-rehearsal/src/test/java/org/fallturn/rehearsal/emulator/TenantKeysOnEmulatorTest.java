package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.eclipse.jetty.http.HttpFields;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.gateway.GatewayServer;
import org.fallturn.rehearsal.emulator.EmulatedClient.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Who is served, and what engines learn of it, where the configuration names tenants. Without these
 * rules every request of such a deployment was wrong: callers' keys reached engines, no engine was
 * told a tenant, and keys that no configuration held were served. Of 36,824 requests of a day all
 * ran so, and 75 of them with a key that had never been anybody's.
 */
class TenantKeysOnEmulatorTest {

  private static final Duration LONGEST = Duration.ofSeconds(15);
  private static final String TENANT = "X-Fallturn-Tenant";
  private static final String BAKERY = RouteText.tenant("bakery", OptionalInt.empty(), "key-b");

  private EmulatedPlatform platform;
  private EmulatedClient client;
  private EmulatedEngine engine;
  private GatewayServer gateway;
  private NetworkAddress address;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    platform.configureTenants(BAKERY);
    engine = platform.addEngine("a-1", EmulatedPlatform.APPLICATION_SERVICE, "");
    gateway = platform.addGateway();
    address = gateway.callersAddress();
    client = new EmulatedClient();
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    platform.close();
  }

  private Answer call(String... headers) throws Exception {
    HttpFields.Mutable fields = HttpFields.build();
    for (int name = 0; name < headers.length; name += 2) {
      fields.add(headers[name], headers[name + 1]);
    }
    client.setHeaders(fields);
    return client.call(address, EmulatedPlatform.IDEMPOTENT, 0);
  }

  private Answer callWithKey(String key) throws Exception {
    return call("Authorization", "Bearer " + key);
  }

  @Test
  void theEngineIsToldTheTenantAndNotShownTheKey() throws Exception {
    assertThat(call("Authorization", "Bearer key-b", TENANT, "somebody").status()).isEqualTo(200);
    HttpFields seen = engine.heads().get(0);
    assertThat(seen.getValuesList(TENANT)).containsExactly("bakery");
    assertThat(seen.contains("Authorization")).isFalse();
  }

  @Test
  void aKeyThatNobodyHoldsIsRefusedAndNothingRuns() throws Exception {
    for (Answer answer :
        List.of(callWithKey("key-x"), call(), call("Authorization", "Basic key-b"))) {
      assertThat(answer.status()).isEqualTo(401);
      assertThat(answer.body()).doesNotContain("key-");
    }
    assertThat(engine.arrivals()).isEmpty();
  }

  @Test
  void anOpenRouteServesCallersWithoutAKeyButNoWrongKey() throws Exception {
    List<String> open = RouteText.defaults().stream().map(RouteText::openToAll).toList();
    platform.configure(open, BAKERY);
    await().atMost(LONGEST).until(() -> call(TENANT, "forged").status() == 200);
    assertThat(engine.heads()).allSatisfy(seen -> assertThat(seen.contains(TENANT)).isFalse());
    assertThat(callWithKey("key-x").status()).isEqualTo(401);
    assertThat(callWithKey("key-b").status()).isEqualTo(200);
  }

  @Test
  void aKeyThatIsTakenAwayServesNoMoreAndANewOneDoes() throws Exception {
    assertThat(callWithKey("key-b").status()).isEqualTo(200);
    platform.configureTenants(RouteText.tenant("bakery", OptionalInt.empty(), "key-new"));
    await().atMost(LONGEST).until(() -> callWithKey("key-b").status() == 401);
    assertThat(callWithKey("key-new").status()).isEqualTo(200);
  }

  @Test
  void theRankOfATenantGoesBeforeThatOfTheRoute() throws Exception {
    List<String> routes = new ArrayList<>(RouteText.defaults());
    routes.replaceAll(
        route ->
            route.contains("/idempotent/")
                ? route.replace("\"priority\":1", "\"priority\":5")
                : route);
    platform.configure(
        routes,
        RouteText.tenant("bakery", OptionalInt.of(0), "key-b"),
        RouteText.tenant("mill", OptionalInt.of(1), "key-m"));
    await().atMost(LONGEST).until(() -> callWithKey("key-m").status() == 200);
    String patientOfBakery = callWithKey("key-b").requestId();
    client.setHeaders(HttpFields.build().add("Authorization", "Bearer key-m"));
    String urgentOfMill = client.call(address, EmulatedPlatform.NON_IDEMPOTENT, 0).requestId();
    assertThat(level(patientOfBakery)).isLessThan(level(urgentOfMill));
  }

  private int level(String requestId) {
    return engine.heads().stream()
        .filter(head -> head.get("X-Fallturn-Request-Id").equals(requestId))
        .mapToInt(head -> Integer.parseInt(head.get("X-Fallturn-Request-Priority")))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void keysWithoutTenantsAreTheEnginesOwnMatter() throws Exception {
    platform.configure(RouteText.defaults());
    await().atMost(LONGEST).until(() -> call().status() == 200);
    assertThat(call("Authorization", "Basic of-the-engine").status()).isEqualTo(200);
    List<HttpFields> heads = engine.heads();
    assertThat(heads.get(heads.size() - 1).get("Authorization")).isEqualTo("Basic of-the-engine");
  }
}
