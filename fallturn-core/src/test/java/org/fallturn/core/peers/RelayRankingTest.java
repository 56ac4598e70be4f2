package org.fallturn.core.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.Test;

/**
 * Guards against sorting the relays anew at each call, and against nodes that differ but compare as
 * equal.
 */
class RelayRankingTest {

  private static PeerInfo peer(int number) {
    return new PeerInfo(new NetworkAddress("10.0.0." + number, 7660), "zone-" + number % 3, 3_600);
  }

  @Test
  void relaysAreSortedOncePerPurpose() {
    List<PeerInfo> others = IntStream.rangeClosed(2, 71).mapToObj(RelayRankingTest::peer).toList();
    RelayRanking ranking = new RelayRanking(peer(1), others, 71);
    assertThat(ranking.relaysFor("watch"))
        .isSameAs(ranking.relaysFor("watch"))
        .containsExactlyInAnyOrderElementsOf(ranking.relays())
        .isNotEqualTo(ranking.relaysFor("collect"));
  }

  @Test
  void nodesThatDifferInAnyComponentAreNotEqual() {
    PeerInfo peer = peer(1);
    assertThat(peer)
        .isEqualTo(peer(1))
        .hasSameHashCodeAs(peer(1))
        .isNotEqualTo(peer(2))
        .isNotEqualTo(new PeerInfo(peer.address(), "zone-9", peer.capacity()))
        .isNotEqualTo(new PeerInfo(peer.address(), peer.zone(), 1))
        .isNotEqualTo(new PeerInfo(new NetworkAddress("10.0.0.1", 1), peer.zone(), 3_600));
  }
}
