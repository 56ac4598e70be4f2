package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** A node to which no other node reports has to report its own load unchanged. */
class PeerLoadsTest {

  private static final long NOW = 1_000_000_000L;

  private static LoadDigest own() {
    EngineDigest engine = new EngineDigest(2, 1, List.of(500L), 0, 0, 40);
    return new LoadDigest("edge-1", 1, 1, 1, "edge-1", Map.of("e-1", engine), List.of(), Map.of());
  }

  @Test
  void groupOfANodeWithoutMembersIsItsOwnDigest() {
    LoadDigest own = own();
    assertThat(new PeerLoads().group(own, NOW)).isSameAs(own);
  }
}
