package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.lease.LeaseRecord;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderNumber;
import org.fallturn.core.port.table.ScanRequest;
import org.fallturn.node.operators.StatementRequest;
import org.fallturn.rehearsal.engine.CrashPlan;
import org.fallturn.rehearsal.engine.EngineJournal;
import org.fallturn.rehearsal.fleet.FleetConfiguration;
import org.fallturn.rehearsal.fleet.FleetControl;
import org.fallturn.rehearsal.fleet.FleetNode;
import org.fallturn.rehearsal.fleet.FleetPlan;
import org.fallturn.rehearsal.platform.PlatformFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * An engine never receives conflicting orders, and orders of a process that has lost its authority
 * have no effect: over a paused leader, a long outage of the table, and a crash in a load.
 */
class LeadershipIT {

  private static final Duration LEASE = Duration.ofSeconds(2);
  private static final CrashPlan CRASH_IN_LOAD = new CrashPlan(CrashPlan.Point.IN_LOAD, 0, 0);

  @RegisterExtension
  static final FleetExtension FLEET = new FleetExtension(FleetPlan.small(4).withEngines(1, 2));

  @AfterEach
  void checkJournals() throws Exception {
    for (String engine : living()) {
      assertOrdersRise(journal(engine));
    }
  }

  @Test
  void aPausedLeaderIsReplacedAndItsOrdersHaveNoEffectWhenItWakesUp() throws Exception {
    LeaseRecord before = lease();
    FleetNode leader = FLEET.fleet().node(before.holder().orElseThrow().value());
    leader.process().pause();
    FleetExtension.eventually().until(() -> lease().epoch().compareTo(before.epoch()) > 0);
    Epoch present = lease().epoch();
    for (String engine : living()) {
      FleetExtension.eventually().until(() -> fence(engine).epoch().equals(present));
    }
    leader.process().resume();
    FLEET.awaitServing(leader);
    for (String engine : living()) {
      assertThat(fence(engine).epoch()).isGreaterThanOrEqualTo(present);
    }
  }

  @Test
  void theLeaderGoesOnOrderingLongAfterTheTableWentDown() throws Exception {
    FleetExtension.eventually().until(() -> lease().witnesses().size() == 3);
    LeaseRecord before = lease();
    FleetControl control = FLEET.fleet().control();
    control.platformFaults(PlatformFaults.tableRefusing());
    long leaseIsOver = System.nanoTime() + 3 * LEASE.toNanos();
    FleetExtension.eventually().until(() -> System.nanoTime() - leaseIsOver > 0);
    String newcomer = FLEET.fleet().addEngine("DECODE").name();
    FleetExtension.eventually()
        .ignoreExceptions()
        .until(() -> fence(newcomer).epoch().equals(before.epoch()));
    control.platformFaults(PlatformFaults.NONE);
    assertThat(lease().epoch()).isEqualTo(before.epoch());
  }

  @Test
  void anEngineCrashInTheMiddleOfALoadEndsWithTheWantedVersion() throws Exception {
    crash("engine-3", CRASH_IN_LOAD);
    change(
        "UPDATE pool_policies SET model_version = 'next' WHERE model = '"
            + FleetConfiguration.MODEL
            + "'");
    FleetExtension.eventually().until(() -> !living().contains("engine-3"));
    FLEET.fleet().remove("engine-3");
    FLEET.fleet().addEngine("DECODE");
    for (String engine : living()) {
      FleetExtension.eventually()
          .atMost(Duration.ofMinutes(2))
          .ignoreExceptions()
          .until(() -> isServingNextVersion(engine));
      assertThat(journal(engine).requestsCutByOrder()).isZero();
    }
  }

  private static boolean isServingNextVersion(String engine) throws Exception {
    EngineState state = state(engine);
    return state.modelVersion().equals("next") && state.activity() == EngineState.Activity.SERVING;
  }

  private static List<String> living() {
    return FLEET.fleet().engines().entrySet().stream()
        .filter(entry -> entry.getValue().isAlive())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Within one incarnation an engine executes only rising numbers, the first of them a fence. */
  private static void assertOrdersRise(EngineJournal journal) {
    long incarnation = 0;
    OrderNumber highest = OrderNumber.NONE;
    for (EngineJournal.OrderEntry order : journal.orders()) {
      if (!order.executed()) {
        continue;
      }
      if (order.incarnation() != incarnation) {
        incarnation = order.incarnation();
        highest = OrderNumber.NONE;
        assertThat(order.command()).isInstanceOf(EngineCommand.RaiseFence.class);
      }
      assertThat(order.number()).isGreaterThan(highest);
      highest = order.number();
    }
  }

  private static LeaseRecord lease() throws Exception {
    FleetControl control = FLEET.fleet().control();
    List<LeaseRecord> held =
        control.table().scan(new ScanRequest("lease", "", 10)).stream()
            .map(row -> decode(control, row.value()))
            .filter(lease -> lease.holder().isPresent())
            .toList();
    assertThat(held).hasSize(1);
    return held.get(0);
  }

  private static LeaseRecord decode(FleetControl control, String value) {
    try {
      return control.codec().decode(value, LeaseRecord.class);
    } catch (Exception e) {
      throw new AssertionError("not a lease row: " + value, e);
    }
  }

  private static void crash(String engine, CrashPlan plan) throws Exception {
    FLEET.fleet().control().post(address(engine), "/control/crash", plan, CrashPlan.class);
  }

  private static NetworkAddress address(String engine) throws Exception {
    return FLEET.fleet().engines().get(engine).address();
  }

  private static EngineState state(String engine) throws Exception {
    return FLEET.fleet().control().get(address(engine), "/v1/state", EngineState.class);
  }

  private static OrderNumber fence(String engine) throws Exception {
    return state(engine).fence();
  }

  private static EngineJournal journal(String engine) throws Exception {
    return FLEET.fleet().control().get(address(engine), "/control/journal", EngineJournal.class);
  }

  private static void change(String statement) throws Exception {
    StatementRequest body =
        new StatementRequest(statement, OptionalLong.empty(), OptionalLong.of(30_000));
    String text = FLEET.fleet().control().codec().encodeText(body);
    NetworkAddress door = FLEET.fleet().nodes().values().iterator().next().operators();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + door + StatementRequest.PATH))
            .header("Authorization", "Bearer " + FleetConfiguration.OPERATOR_KEY)
            .POST(HttpRequest.BodyPublishers.ofString(text))
            .build();
    HttpResponse<String> response =
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
  }
}
