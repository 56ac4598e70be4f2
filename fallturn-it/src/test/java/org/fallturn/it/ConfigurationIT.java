package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.operators.StatementAnswer;
import org.fallturn.node.operators.StatementRequest;
import org.fallturn.rehearsal.fleet.FleetConfiguration;
import org.fallturn.rehearsal.fleet.FleetNode;
import org.fallturn.rehearsal.fleet.FleetPlan;
import org.fallturn.rehearsal.platform.PlatformFaults;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** An accepted configuration is in force everywhere within seconds and never reverts. */
class ConfigurationIT {

  private static final int OK = 200;
  private static final long NOT_ANSWERING = -1;
  private static final long WAIT_MILLIS = 30_000;
  private static final HttpClient CLIENT = new HttpClient();

  @RegisterExtension
  static final FleetExtension FLEET =
      new FleetExtension(FleetPlan.small(3).withEngines(1, 1).withApplications(1));

  private final JsonCodec codec = new JsonCodec();

  @BeforeAll
  static void startClient() throws Exception {
    CLIENT.start();
  }

  @AfterAll
  static void stopClient() throws Exception {
    CLIENT.stop();
  }

  @Test
  void acceptedChangeIsInForceOnEveryNode() throws Exception {
    allAtOneVersion();

    StatementAnswer answer = change("everywhere");

    StatementAnswer.InForce state = answer.inForce().orElseThrow();
    assertThat(state.complete()).as(answer.toString()).isTrue();
    assertThat(state.nodes()).isEqualTo(FLEET.fleet().nodes().size());
    for (FleetNode node : FLEET.fleet().nodes().values()) {
      assertThat(version(node)).isGreaterThanOrEqualTo(answer.version());
    }
  }

  @Test
  void nodeCutOffAndHealedNeverServesOlderVersion() throws Exception {
    allAtOneVersion();
    FleetNode cutOff = FLEET.fleet().node("node-3");
    List<Long> seen = new ArrayList<>();
    seen.add(version(cutOff));

    FLEET.fleet().isolate("node-3");
    change("first-while-cut-off");
    seen.add(version(cutOff));
    long newest = change("second-while-cut-off").version();
    seen.add(version(cutOff));
    assertThat(seen).containsOnly(seen.get(0));
    FLEET.fleet().proxy().heal();
    FleetExtension.eventually()
        .until(
            () -> {
              seen.add(version(cutOff));
              return seen.get(seen.size() - 1) >= newest;
            });

    assertThat(seen).isSorted();
  }

  @Test
  void nodeThatStartsDuringStoreOutageGetsConfigurationFromPeers() throws Exception {
    long newest = change("before-outage").version();
    FLEET.fleet().control().platformFaults(PlatformFaults.tableRefusing());

    FleetNode late = FLEET.fleet().addNode();

    FleetExtension.eventually().until(() -> version(late) >= newest);
    FLEET.fleet().control().platformFaults(PlatformFaults.NONE);
  }

  @Test
  void lostAnswerOfCommitIsSettledAndChangeAcceptedOnce() throws Exception {
    long before = allAtOneVersion();
    FLEET.fleet().control().platformFaults(PlatformFaults.losingAnswers(1, "configuration_head"));

    StatementAnswer answer = change("answer-lost");

    assertThat(answer.kind()).isEqualTo(StatementAnswer.Kind.ACCEPTED);
    assertThat(answer.version()).isEqualTo(before + 1);
    assertThat(version(FLEET.fleet().node("node-1"))).isEqualTo(before + 1);
  }

  private long allAtOneVersion() {
    FleetExtension.eventually()
        .until(
            () ->
                FLEET.fleet().nodes().values().stream().map(this::versionOrNone).distinct().count()
                    == 1);
    return versionOrNone(FLEET.fleet().node("node-1"));
  }

  private StatementAnswer change(String tenant) throws Exception {
    ContentResponse response =
        send(
            FLEET.fleet().node("node-1"),
            "INSERT INTO tenants (tenant, requests_per_second, tokens_per_second) VALUES ('"
                + tenant
                + "', 1, 1)");
    assertThat(response.getStatus()).as(response.getContentAsString()).isEqualTo(OK);
    return codec.decode(response.getContent(), StatementAnswer.class);
  }

  private long versionOrNone(FleetNode node) {
    try {
      return version(node);
    } catch (Exception e) {
      return NOT_ANSWERING;
    }
  }

  /** The version in force on a node, or {@link #NOT_ANSWERING} before it has loaded any. */
  private long version(FleetNode node) throws Exception {
    ContentResponse response = send(node, "SELECT operator FROM operators");
    return response.getStatus() == OK
        ? codec.decode(response.getContent(), StatementAnswer.class).version()
        : NOT_ANSWERING;
  }

  private ContentResponse send(FleetNode node, String statement) throws Exception {
    StatementRequest body =
        new StatementRequest(statement, OptionalLong.empty(), OptionalLong.of(waitFor(statement)));
    return CLIENT
        .newRequest("http://" + node.operators() + StatementRequest.PATH)
        .method(HttpMethod.POST)
        .timeout(60, TimeUnit.SECONDS)
        .headers(
            headers -> headers.put("Authorization", "Bearer " + FleetConfiguration.OPERATOR_KEY))
        .body(new StringRequestContent("application/json", codec.encodeText(body)))
        .send();
  }

  /** A change that one node cannot get is not waited for. */
  private static long waitFor(String statement) {
    return statement.contains("cut-off") ? 0 : WAIT_MILLIS;
  }
}
