package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.rehearsal.application.ApplicationControl;
import org.fallturn.rehearsal.application.ExecutionCounts;
import org.fallturn.rehearsal.fleet.CallResult;
import org.fallturn.rehearsal.fleet.FleetConfiguration;
import org.fallturn.rehearsal.fleet.FleetPlan;
import org.fallturn.rehearsal.platform.PlatformFaults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Work that may not be repeated runs at most once, whatever fails and whoever retries. */
class AtMostOnceIT {

  private static final String ONCE = FleetConfiguration.ONCE_SERVICE;
  private static final int SLOTS = 30;
  private static final ApplicationControl SLOW = new ApplicationControl(100, false, 0, 0, 0);

  @RegisterExtension static final FleetExtension FLEET = new FleetExtension(FleetPlan.small(2));

  @Test
  void lostTableAnswersAndRetriesAtAnotherNodeRunItOnce() throws Exception {
    for (int slot = 0; slot < SLOTS; slot++) {
      String key = "slot-" + slot;
      FLEET.fleet().control().platformFaults(PlatformFaults.losingAnswers(1, ""));
      CallResult first = act(nodes().get(0), key);
      int ranByFirst = counts().perKey().getOrDefault(key, 0);
      FLEET.fleet().control().platformFaults(PlatformFaults.NONE);
      CallResult second = retryAfterIt(key);
      if (first.verdict() == CallResult.Verdict.NOT_RUN) {
        assertThat(ranByFirst).as(first.toString()).isZero();
      }
      assertThat(counts().perKey().getOrDefault(key, 0)).as(key).isLessThanOrEqualTo(1);
      if (first.verdict() == CallResult.Verdict.COMPLETE) {
        assertThat(second.verdict()).as(second.toString()).isEqualTo(first.verdict());
      }
    }
    assertThat(counts().doubled()).isZero();
  }

  @Test
  void aNodeKilledInTheMiddleLeavesNothingToRunTwice() throws Exception {
    FLEET.fleet().control().behave(application(), SLOW);
    String victim = nodes().get(0);
    NetworkAddress first = FLEET.callers(victim);
    NetworkAddress second = FLEET.callers(nodes().get(1));
    try (BackgroundLoad load =
        new BackgroundLoad(4, number -> actTwice(first, second, "killed-" + number))) {
      FleetExtension.eventually().until(() -> counts().executions() >= 8);
      FLEET.fleet().node(victim).process().kill();
      long goal = counts().executions() + 8;
      FleetExtension.eventually().until(() -> counts().executions() >= goal);
      load.close();
    }
    assertThat(counts().doubled()).isZero();
    FLEET.fleet().remove(victim);
    FLEET.awaitServing(FLEET.fleet().addNode());
  }

  @Test
  void anAnswerLostAfterTheWorkRanIsNotSaidToBeNotRun() throws Exception {
    FLEET.fleet().control().behave(application(), new ApplicationControl(5, false, 0, 1, 0));
    CallResult lost = act(nodes().get(0), "slot-lost");
    assertThat(lost.verdict()).as(lost.toString()).isEqualTo(CallResult.Verdict.UNKNOWN);

    List<CallResult> retries =
        List.of(act(nodes().get(0), "slot-lost"), act(nodes().get(1), "slot-lost"));

    assertThat(retries)
        .allSatisfy(
            retry ->
                assertThat(retry.verdict())
                    .as(retry.toString())
                    .isEqualTo(CallResult.Verdict.UNKNOWN));
    assertThat(counts().perKey()).containsEntry("slot-lost", 1);
  }

  private static CallResult actTwice(NetworkAddress first, NetworkAddress second, String key) {
    CallResult result = FLEET.caller().act(first, ONCE, key, key);
    return result.verdict() == CallResult.Verdict.COMPLETE
        ? result
        : FLEET.caller().act(second, ONCE, key, key);
  }

  /** Retries at the other node for as long as it says that the first one may still be running. */
  private static CallResult retryAfterIt(String key) {
    return FleetExtension.eventually()
        .until(
            () -> act(nodes().get(1), key), result -> !result.detail().startsWith("IN_PROGRESS"));
  }

  private static CallResult act(String node, String key) throws Exception {
    return FLEET.caller().act(FLEET.callers(node), ONCE, key, key);
  }

  private static List<String> nodes() {
    return List.copyOf(FLEET.fleet().nodes().keySet());
  }

  private static NetworkAddress application() throws Exception {
    return FLEET.fleet().applications().get("application-1").address();
  }

  private static ExecutionCounts counts() throws Exception {
    return FLEET.fleet().control().counts(application());
  }
}
