package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.Test;

/**
 * Checks through which nodes requests are sent while the own links are lost. A node that did not
 * reach one engine was left out for all engines, so that engines which had ended took every way to
 * the others away; a node that is at fault itself must still not be tried for each engine anew.
 */
class ForwardingPeersTest {

  private static final NetworkAddress ONE = new NetworkAddress("10.0.0.2", 7660);
  private static final NetworkAddress TWO = new NetworkAddress("10.0.0.3", 7660);

  private final ForwardingPeers peers = new ForwardingPeers();
  private long now;

  ForwardingPeersTest() {
    peers.set(List.of(ONE, TWO));
  }

  /** The nodes that are chosen in turn for an engine. */
  private Set<NetworkAddress> chosen(String engineId) {
    Set<NetworkAddress> chosen = new HashSet<>();
    for (int request = 0; request < 4; request++) {
      peers.choose(engineId, now).ifPresent(chosen::add);
    }
    return chosen;
  }

  @Test
  void nodeIsAvoidedOnlyForTheEngineThatItDidNotReach() {
    peers.onFailure(ONE, "e-1", now);
    assertThat(chosen("e-1")).containsExactly(TWO);
    assertThat(chosen("e-2")).containsExactlyInAnyOrder(ONE, TWO);
  }

  @Test
  void nodeThatFailsForOneEngineAfterTheOtherIsAvoidedForAll() {
    peers.onFailure(ONE, "e-1", now);
    peers.onFailure(ONE, "e-2", now);
    assertThat(chosen("e-3")).containsExactly(TWO);
  }

  @Test
  void answerThroughANodeShowsThatItsFailuresWereThoseOfEngines() {
    peers.onFailure(ONE, "e-1", now);
    peers.onAnswer(ONE);
    peers.onFailure(ONE, "e-2", now);
    assertThat(chosen("e-3")).containsExactlyInAnyOrder(ONE, TWO);
    assertThat(chosen("e-1")).containsExactly(TWO);
  }

  @Test
  void nodeIsUsedAgainAfterAWhile() {
    peers.onFailure(ONE, "e-1", now);
    peers.onFailure(ONE, "e-2", now);
    now += TimeUnit.SECONDS.toNanos(2);
    assertThat(chosen("e-1")).containsExactlyInAnyOrder(ONE, TWO);
    assertThat(chosen("e-3")).containsExactlyInAnyOrder(ONE, TWO);
  }

  @Test
  void firstToBeUsedAgainIsChosenWhileAllAreAvoided() {
    peers.onFailure(TWO, "e-1", now);
    now += TimeUnit.SECONDS.toNanos(1);
    peers.onFailure(ONE, "e-1", now);
    assertThat(chosen("e-1")).containsExactly(TWO);
  }
}
