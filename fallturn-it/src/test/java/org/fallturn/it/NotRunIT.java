package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;

import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.rehearsal.application.ApplicationControl;
import org.fallturn.rehearsal.application.ExecutionCounts;
import org.fallturn.rehearsal.faults.LinkFaults;
import org.fallturn.rehearsal.fleet.CallResult;
import org.fallturn.rehearsal.fleet.FleetConfiguration;
import org.fallturn.rehearsal.fleet.FleetPlan;
import org.fallturn.rehearsal.platform.PlatformFaults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** What is refused as not run did not run. */
class NotRunIT {

  private static final String APPLICATION = "application-1";

  @RegisterExtension
  static final FleetExtension FLEET =
      new FleetExtension(FleetPlan.small(1).withEngines(1, 1).withApplications(1));

  @Test
  void keyedWorkIsRefusedAsNotRunWhileTheTableServiceIsDown() throws Exception {
    FLEET.fleet().control().platformFaults(PlatformFaults.tableRefusing());

    CallResult refused = act("store-down", "store-down");

    assertThat(refused.verdict()).as(refused.toString()).isEqualTo(CallResult.Verdict.NOT_RUN);
    assertThat(ran("store-down")).isZero();

    FLEET.fleet().control().platformFaults(PlatformFaults.NONE);
    CallResult accepted =
        FleetExtension.eventually()
            .until(
                () -> act("store-down", "store-down"),
                result -> result.verdict() == CallResult.Verdict.COMPLETE);
    assertThat(accepted.status()).isEqualTo(200);
    assertThat(ran("store-down")).isEqualTo(1);
  }

  @Test
  void unkeyedWorkWhoseBackEndRefusesConnectionsDidNotRun() throws Exception {
    FLEET.fleet().proxy().set(APPLICATION, LinkFaults.CUT);
    CallResult cut = act("cut", "");
    FLEET.fleet().proxy().heal();

    if (cut.verdict() == CallResult.Verdict.NOT_RUN) {
      assertThat(ran("cut")).isZero();
    }
    assertThat(cut.verdict())
        .as(cut.toString())
        .isIn(CallResult.Verdict.NOT_RUN, CallResult.Verdict.UNKNOWN);
  }

  @Test
  void workThatRanBeforeItsAnswerWasLostIsNeverCalledNotRun() throws Exception {
    FLEET.fleet().control().behave(application(), new ApplicationControl(5, false, 0, 2, 0));

    CallResult keyed = act("lost-keyed", "lost-keyed");
    CallResult unkeyed = act("lost-unkeyed", "");

    assertThat(keyed.verdict()).as(keyed.toString()).isEqualTo(CallResult.Verdict.UNKNOWN);
    assertThat(unkeyed.verdict()).as(unkeyed.toString()).isEqualTo(CallResult.Verdict.UNKNOWN);
    assertThat(ran("lost-keyed")).isEqualTo(1);
    assertThat(ran("lost-unkeyed")).isEqualTo(1);
  }

  private static CallResult act(String businessKey, String idempotencyKey) throws Exception {
    return FLEET
        .caller()
        .act(FLEET.callers("node-1"), FleetConfiguration.ONCE_SERVICE, businessKey, idempotencyKey);
  }

  private static int ran(String key) throws Exception {
    ExecutionCounts counts = FLEET.fleet().control().counts(application());
    return counts.perKey().getOrDefault(key, 0);
  }

  private static NetworkAddress application() throws Exception {
    return FLEET.fleet().applications().get(APPLICATION).address();
  }
}
