package org.fallturn.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.Test;

/**
 * Guards against sending new requests to an engine that has announced its shutdown while its entry
 * in the directory does not say so yet.
 */
class EngineDirectoryTest {

  private final ServingEngine one = engine("e-1", false);
  private final ServingEngine two = engine("e-2", false);
  private final ServingEngine alreadyLeaving = engine("e-3", true);
  private final EngineDirectory directory =
      EngineDirectory.of(7, List.of(one, two, alreadyLeaving));

  private static ServingEngine engine(String id, boolean leaving) {
    NetworkAddress address = new NetworkAddress("10.0.0.1", 80);
    return new ServingEngine(id, "llm", address, "zone-1", 8, leaving, EngineStage.DECODE);
  }

  @Test
  void marksEnginesAsLeavingWhoseEntriesDoNotSaySo() {
    EngineDirectory known = directory.withLeaving("e-1"::equals);
    assertThat(known.revision()).isEqualTo(7);
    assertThat(known.ofService("llm"))
        .containsExactlyInAnyOrder(one.asLeaving(), two, alreadyLeaving);
  }

  @Test
  void returnsTheSameDirectoryWhenNothingChanges() {
    assertThat(directory.withLeaving("e-3"::equals)).isSameAs(directory);
    assertThat(directory.withLeaving("unlisted"::equals)).isSameAs(directory);
  }
}
