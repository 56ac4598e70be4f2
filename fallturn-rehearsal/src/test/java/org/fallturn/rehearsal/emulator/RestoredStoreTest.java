package org.fallturn.rehearsal.emulator;

import static org.awaitility.Awaitility.await;

import java.time.Duration;
import org.fallturn.node.gateway.GatewayServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against gateways that keep an old configuration or list of engines after the store was
 * restored from a copy. Its versions go back then, and a gateway that takes the greater version for
 * the newer passes over whatever is written until the store's counter has caught up.
 */
class RestoredStoreTest {

  private static final Duration LONGEST = Duration.ofSeconds(10);
  private static final int LOST_WRITES = 500;

  private EmulatedPlatform platform;
  private GatewayServer first;
  private GatewayServer second;
  private EmulatedEngine engine;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    engine = platform.addEngine("a-1", EmulatedPlatform.APPLICATION_SERVICE, "");
    platform.addEngine("a-2", EmulatedPlatform.APPLICATION_SERVICE, "");
    first = platform.addGateway();
    second = platform.addGateway(first.peersAddress());
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
  }

  /**
   * Makes a copy, and lets the store's counter rise past it, as heartbeats do. Both gateways read a
   * configuration and an engine that the copy lacks.
   */
  private StoreCopy copyThatGrowsOld() throws Exception {
    StoreCopy copy = platform.store().copy();
    for (int write = 0; write < LOST_WRITES; write++) {
      platform.store().put("other", "row", "value " + write);
    }
    platform.addEngine("a-3", EmulatedPlatform.APPLICATION_SERVICE, "");
    configureAndAwait();
    await().atMost(LONGEST).until(() -> first.engineCount() == 3 && second.engineCount() == 3);
    return copy;
  }

  private void configureAndAwait() {
    long before = Math.max(first.routingVersion(), second.routingVersion());
    platform.configure(RouteText.defaults());
    await()
        .atMost(LONGEST)
        .until(() -> first.routingVersion() > before && second.routingVersion() > before);
  }

  private void awaitLeaving(int count) {
    await()
        .atMost(LONGEST)
        .until(() -> first.leavingCount() == count && second.leavingCount() == count);
  }

  @Test
  void configurationWrittenAfterTheRestoreComesIntoForce() throws Exception {
    platform.restoreStore(copyThatGrowsOld());
    platform.writeAgain();
    configureAndAwait();
  }

  @Test
  void engineThatLeavesAfterTheRestoreIsKnownToLeave() throws Exception {
    platform.restoreStore(copyThatGrowsOld());
    platform.writeAgain();
    platform.list(engine, true);
    awaitLeaving(1);
  }

  @Test
  void enginesWhoseRowsLapseWhileTheStoreIsAwayAreInServiceOnceTheyHaveWrittenAgain()
      throws Exception {
    platform.restoreStore(copyThatGrowsOld());
    platform.lapseEngines();
    configureAndAwait();
    platform.writeAgain();
    await().atMost(LONGEST).until(() -> first.engineCount() == 3 && second.engineCount() == 3);
  }

  /** The lost and the new configuration have the same version of the store. */
  @Test
  void configurationWithAVersionThatIsIssuedAgainComesIntoForce() {
    StoreCopy copy = platform.store().copy();
    configureAndAwait();
    platform.store().restore(copy);
    configureAndAwait();
  }
}
