package org.fallturn.node.gateway;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A gateway with one engine, whose requests may not be repeated, for each test. */
abstract class OneEngineTest {

  /** Longer than anything takes that happens at all. */
  static final Duration LONGEST = Duration.ofSeconds(20);

  RawEngine engine;
  GatewayServer gateway;

  @BeforeEach
  void startGateway() throws Exception {
    engine = new RawEngine();
    gateway = OneEngineGateway.start(engine, headers -> headers);
  }

  @AfterEach
  void stopGateway() throws Exception {
    gateway.close();
    engine.close();
  }
}
