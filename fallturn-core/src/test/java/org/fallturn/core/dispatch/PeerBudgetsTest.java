package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.limits.BudgetDigest;
import org.junit.jupiter.api.Test;

/** What nodes tell each other of retry budgets. */
class PeerBudgetsTest {

  private static final long NOW = Requests.START + Duration.ofMinutes(1).toNanos();
  private static final BudgetDigest TOLD = new BudgetDigest(1, 50, 3, 2, 90);

  private final PeerLoads loads = new PeerLoads();

  private static LoadDigest digest(String node, BudgetDigest budget) {
    return new LoadDigest(node, 1, 1, Map.of(), List.of(), Map.of())
        .withBudgets(Map.of(Requests.MODEL, budget));
  }

  private void receive(String node, int port, PeerLoads.Source source) {
    loads.onDigest(digest(node, TOLD), source, new NetworkAddress("10.0.0.2", port), NOW);
  }

  @Test
  void relayAddsUpWhatItsMembersTell() {
    receive("n-1", 1, PeerLoads.Source.MEMBER);
    receive("n-2", 2, PeerLoads.Source.MEMBER);
    receive("n-3", 3, PeerLoads.Source.RELAY);
    assertThat(loads.budget(Requests.MODEL, NOW)).isEqualTo(TOLD.plus(TOLD).plus(TOLD));
    assertThat(loads.group(digest("n-0", TOLD), NOW).budgets())
        .containsEntry(Requests.MODEL, TOLD.plus(TOLD).plus(TOLD));
    assertThat(loads.views(digest("n-0", TOLD), NOW).get(new NetworkAddress("10.0.0.2", 1)))
        .extracting(view -> view.budgets().get(Requests.MODEL))
        .isEqualTo(TOLD.plus(TOLD).plus(TOLD));
  }

  @Test
  void whatWasToldLongerAgoIsNotBelieved() {
    receive("n-1", 1, PeerLoads.Source.MEMBER);
    long later = NOW + Duration.ofMillis(500).toNanos();
    assertThat(loads.budget(Requests.MODEL, later)).isEqualTo(BudgetDigest.NONE);
    assertThat(loads.group(digest("n-0", TOLD), later).budgets())
        .containsEntry(Requests.MODEL, TOLD);
  }

  private static Dispatcher steady() {
    Dispatcher dispatcher = Requests.dispatcher(30);
    dispatcher.setNodeCount(OptionalInt.of(6));
    dispatcher.ownBudgets(Requests.START);
    return dispatcher;
  }

  @Test
  void nobodySpeaksWhileNobodyWantsAnything() {
    assertThat(steady().ownBudgets(NOW)).isEmpty();
  }

  /** A node without requests for the service has a part of the slack that others can use. */
  @Test
  void nodeThatHearsOfWantsTellsWhatItKeeps() {
    Dispatcher dispatcher = steady();
    Requests.receive(dispatcher, digest("n-1", TOLD), NOW);
    BudgetDigest own = dispatcher.ownBudgets(NOW).get(Requests.MODEL);
    assertThat(own.nodes()).isEqualTo(1);
    // A sixth of seven tenths of the slack, of which some is left to others.
    assertThat(own.kept()).isBetween(1, 349);
  }

  @Test
  void nodeThatHearsOnlyThoseThatWantNothingIsSilent() {
    Dispatcher dispatcher = steady();
    Requests.receive(dispatcher, digest("n-1", new BudgetDigest(1, 50, 0, 0, 0)), NOW);
    assertThat(dispatcher.ownBudgets(NOW)).isEmpty();
  }

  /** It does not know what the process before it took. */
  @Test
  void processThatHasJustStartedTellsNothing() {
    Dispatcher dispatcher = Requests.dispatcher(30);
    dispatcher.setNodeCount(OptionalInt.of(6));
    Requests.receive(dispatcher, digest("n-1", TOLD), NOW);
    assertThat(dispatcher.ownBudgets(NOW)).isEmpty();
  }
}
