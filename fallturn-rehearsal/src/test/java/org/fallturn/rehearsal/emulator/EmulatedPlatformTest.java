package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against two emulated engines of one id. An engine that leaves and serves on is replaced,
 * and crashes later; both successors had the id of the former with one more "+". What one of them
 * said of itself, such as the end of a limit, then held for the other.
 */
class EmulatedPlatformTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);

  @Test
  void enginesThatFollowOneAnotherHaveIdsOfTheirOwn() throws Exception {
    try (EmulatedPlatform platform = new EmulatedPlatform();
        EmulatedClient client = new EmulatedClient()) {
      EmulatedEngine first = platform.addEngine("d-1", EmulatedPlatform.MODEL_SERVICE, "decode");
      platform.addSuccessor(first);
      platform.crashOn("crash", EngineCrash.WHILE_READING);
      client.sendContent(first.address(), EmulatedPlatform.STREAM, 300, "crash");
      await().atMost(LONGEST).until(() -> platform.crashes() == 1);
      await().atMost(LONGEST).until(() -> platform.engines().size() == 2);
      assertThat(platform.allEngines()).extracting(EmulatedEngine::id).doesNotHaveDuplicates();
    }
  }
}
