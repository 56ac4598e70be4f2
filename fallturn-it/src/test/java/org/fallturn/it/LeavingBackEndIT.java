package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.rehearsal.engine.EngineJournal;
import org.fallturn.rehearsal.fleet.CallResult;
import org.fallturn.rehearsal.fleet.FleetConfiguration;
import org.fallturn.rehearsal.fleet.FleetPlan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * A back end that is leaving gets no new work after a few seconds, and its work in progress ends.
 */
class LeavingBackEndIT {

  private static final Duration FEW_SECONDS = Duration.ofSeconds(3);
  private static final String ENGINE = "engine-2";
  private static final String APPLICATION = "application-1";

  @RegisterExtension
  static final FleetExtension FLEET =
      new FleetExtension(FleetPlan.small(2).withEngines(1, 2).withApplications(2));

  @Test
  void anEngineAndAnApplicationThatLeaveGetNothingNew() throws Exception {
    try (BackgroundLoad load = new BackgroundLoad(6, LeavingBackEndIT::call)) {
      FleetExtension.eventually().until(() -> engineRequests() > 0 && executions() > 0);
      FLEET.fleet().announceLeaving(ENGINE);
      FLEET.fleet().announceLeaving(APPLICATION + "-" + FleetConfiguration.REPEATABLE_SERVICE);
      FLEET.fleet().announceLeaving(APPLICATION + "-" + FleetConfiguration.ONCE_SERVICE);
      TimeUnit.MILLISECONDS.sleep(FEW_SECONDS.toMillis());
      long requests = engineRequests();
      long executions = executions();
      long goal = load.complete() + 60;
      FleetExtension.eventually().until(() -> load.complete() >= goal);
      load.close();

      assertThat(engineRequests()).isEqualTo(requests);
      assertThat(executions()).isEqualTo(executions);
      assertThat(load.results())
          .extracting(CallResult::verdict)
          .containsOnly(CallResult.Verdict.COMPLETE);
    }
  }

  private static CallResult call(int number) throws Exception {
    NetworkAddress node = FLEET.callers(number % 2 == 0 ? "node-1" : "node-2");
    if (number % 3 == 0) {
      return FLEET
          .caller()
          .act(node, FleetConfiguration.REPEATABLE_SERVICE, "address-" + number, "");
    }
    return FLEET.caller().complete(node, "Plan the route of driver " + number, 30);
  }

  private static long engineRequests() throws Exception {
    NetworkAddress engine = FLEET.fleet().engines().get(ENGINE).address();
    return FLEET
        .fleet()
        .control()
        .get(engine, "/control/journal", EngineJournal.class)
        .requestsStarted();
  }

  private static long executions() throws Exception {
    NetworkAddress application = FLEET.fleet().applications().get(APPLICATION).address();
    return FLEET.fleet().control().counts(application).executions();
  }
}
