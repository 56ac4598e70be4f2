package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against a node that has all requests and an eighth of the connections, and against nodes
 * that together open more connections than an engine takes because one of them has many requests.
 */
class ConnectionBoundTest {

  private static final int ACCEPTED = 240;

  @Test
  void nodeWithFewRequestsHasItsEqualPart() {
    assertThat(ConnectionBound.of(ACCEPTED, 0)).isEqualTo(30);
    assertThat(ConnectionBound.of(ACCEPTED, 0.2)).isEqualTo(30);
    assertThat(ConnectionBound.of(8, 0)).isEqualTo(2);
  }

  @Test
  void nodeWithAllRequestsLeavesHalfOfTheConnectionsToTheOthers() {
    assertThat(ConnectionBound.of(ACCEPTED, 1)).isEqualTo(ACCEPTED / 2);
    assertThat(ConnectionBound.greatest(ACCEPTED)).isEqualTo(ACCEPTED / 2);
  }

  @Test
  void sharesThatAddUpToOneTakeNoMoreThanTwoNodesWithHalfOfTheRequestsEach() {
    for (int nodes = 1; nodes <= 4; nodes++) {
      assertThat(nodes * ConnectionBound.of(ACCEPTED, 1.0 / nodes))
          .isLessThanOrEqualTo(ACCEPTED / 2);
    }
  }
}
