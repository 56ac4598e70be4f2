package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.routing.EngineStage;
import org.junit.jupiter.api.Test;

/**
 * Checks what nodes report to each other about retry budgets. A report that is counted twice, kept
 * too long or sent by a process that does not know its past would let the fleet exceed its bound.
 */
class PeerBudgetsTest {

  private static final long NOW = Requests.START + Duration.ofMinutes(1).toNanos();
  private static final BudgetDigest REPORTED = new BudgetDigest(1, 50, 3, 2, 90);

  private final PeerLoads loads = new PeerLoads();

  private static LoadDigest digest(String node, BudgetDigest budget) {
    return new LoadDigest(node, 1, 1, Map.of(), List.of(), Map.of())
        .withBudgets(Map.of(Requests.MODEL, budget));
  }

  private void receive(String node, int port, PeerLoads.Source source) {
    loads.onDigest(digest(node, REPORTED), source, new NetworkAddress("10.0.0.2", port), NOW);
  }

  @Test
  void relayAddsUpTheReportsOfItsMembers() {
    receive("n-1", 1, PeerLoads.Source.MEMBER);
    receive("n-2", 2, PeerLoads.Source.MEMBER);
    receive("n-3", 3, PeerLoads.Source.RELAY);
    assertThat(loads.budget(Requests.MODEL, NOW)).isEqualTo(REPORTED.plus(REPORTED).plus(REPORTED));
    assertThat(loads.group(digest("n-0", REPORTED), NOW).budgets())
        .containsEntry(Requests.MODEL, REPORTED.plus(REPORTED).plus(REPORTED));
    assertThat(loads.views(digest("n-0", REPORTED), NOW).get(new NetworkAddress("10.0.0.2", 1)))
        .extracting(view -> view.budgets().get(Requests.MODEL))
        .isEqualTo(REPORTED.plus(REPORTED).plus(REPORTED));
  }

  @Test
  void expiredReportsAreNotCounted() {
    receive("n-1", 1, PeerLoads.Source.MEMBER);
    long later = NOW + Duration.ofMillis(500).toNanos();
    assertThat(loads.budget(Requests.MODEL, later)).isEqualTo(BudgetDigest.NONE);
    assertThat(loads.group(digest("n-0", REPORTED), later).budgets())
        .containsEntry(Requests.MODEL, REPORTED);
  }

  private static Dispatcher steady() {
    Dispatcher dispatcher = Requests.dispatcher(30);
    dispatcher.setNodeCount(OptionalInt.of(6), true);
    dispatcher.ownBudgets(Requests.START);
    return dispatcher;
  }

  @Test
  void nodesReportNothingWhileNoNodeWantsRepeats() {
    assertThat(steady().ownBudgets(NOW)).isEmpty();
  }

  /** A node without requests for the service has a share of the slack that others can use. */
  @Test
  void nodeReportsWhatItKeepsWhenAnotherWantsRepeats() {
    Dispatcher dispatcher = steady();
    Requests.receive(dispatcher, digest("n-1", REPORTED), NOW);
    BudgetDigest own = dispatcher.ownBudgets(NOW).get(Requests.MODEL);
    assertThat(own.nodes()).isEqualTo(1);
    // The share is a sixth of seven tenths of the slack; the node keeps only part of it.
    assertThat(own.kept()).isBetween(1, 349);
  }

  @Test
  void nodeReportsNothingWhenTheOthersWantNothing() {
    Dispatcher dispatcher = steady();
    Requests.receive(dispatcher, digest("n-1", new BudgetDigest(1, 50, 0, 0, 0)), NOW);
    assertThat(dispatcher.ownBudgets(NOW)).isEmpty();
  }

  /** The new process does not know what its predecessor used. */
  @Test
  void processThatHasJustStartedReportsNothing() {
    Dispatcher dispatcher = Requests.dispatcher(30);
    dispatcher.setNodeCount(OptionalInt.of(6), true);
    Requests.receive(dispatcher, digest("n-1", REPORTED), NOW);
    assertThat(dispatcher.ownBudgets(NOW)).isEmpty();
  }

  /** The new process has heard three others, and cannot tell whether there are hundreds. */
  @Test
  void processThatHasNotHeardTheWholeFleetUsesNoSlack() {
    assertThat(afterLostRun(true)).isInstanceOf(Decision.Run.class);
    assertThat(afterLostRun(false)).isInstanceOf(Decision.Refuse.class);
  }

  private static Decision afterLostRun(boolean countSettled) {
    Dispatcher dispatcher =
        Requests.dispatcher(
            30,
            Requests.engine("e-1", Requests.MODEL, EngineStage.DECODE),
            Requests.engine("e-2", Requests.MODEL, EngineStage.DECODE));
    dispatcher.setNodeCount(OptionalInt.of(4), countSettled);
    RequestProgress progress = Requests.prompt(true, 100, 3_000);
    dispatcher.ownBudgets(Requests.START - Duration.ofSeconds(9).toNanos());
    dispatcher.start(progress, Requests.START);
    return dispatcher.onFailure(progress, AttemptOutcome.LOST, Requests.START);
  }
}
