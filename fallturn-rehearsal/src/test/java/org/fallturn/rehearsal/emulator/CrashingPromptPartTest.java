package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fallturn.node.gateway.GatewayServer;
import org.fallturn.rehearsal.emulator.EmulatedClient.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * One part of a prompt crashed every engine that began to write an answer on it. The requests with
 * it had nothing else in common that others lacked, so that each was new to all nodes: 24 engines
 * ended under one part and 25 under another. Requests without it share their first parts, and must
 * be served all the same.
 */
class CrashingPromptPartTest {

  private static final int ENGINES = 8;
  private static final int TOLERATED_CRASHES = 5;
  private static final int TOLERATED_SENDS = 3;
  private static final int FIRST_SENDS = 16;
  private static final int SENDS_AFTERWARDS = 8;
  private static final String TABLE = "quarantine";
  private static final String FIRST = "f1257";
  private static final String SECOND = "5ec04d";
  private static final String POISON = "bad9a27";
  private static final Duration LONGEST = Duration.ofSeconds(15);

  private final List<GatewayServer> gateways = new ArrayList<>();
  private EmulatedPlatform platform;
  private EmulatedClient client;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    for (int number = 1; number <= ENGINES; number++) {
      platform.addEngine("d-" + number, EmulatedPlatform.MODEL_SERVICE, "decode");
    }
    gateways.add(platform.addGateway());
    gateways.add(platform.addGateway(gateways.get(0).peersAddress()));
    await().atMost(LONGEST).until(() -> gateways.stream().allMatch(g -> g.nodeCount() == 2));
    client = new EmulatedClient();
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    platform.close();
  }

  private Answer send(GatewayServer gateway, String... sharedParts) throws Exception {
    return client
        .sendWithParts(gateway.callersAddress(), EmulatedPlatform.RESUMABLE, List.of(sharedParts))
        .await();
  }

  private GatewayServer gateway(int number) {
    return gateways.get(number % gateways.size());
  }

  private void awaitServed(GatewayServer gateway, String... sharedParts) {
    await()
        .atMost(LONGEST)
        .until(() -> send(gateway, sharedParts).body().equals(EmulatedEngine.wholeStream()));
  }

  /** How often any of the requests reached an engine. */
  private long arrivals(Set<String> requestIds) {
    return platform.allEngines().stream()
        .flatMap(engine -> engine.arrivals().stream())
        .filter(arrival -> requestIds.contains(arrival.requestId()))
        .count();
  }

  private Set<String> sendPoison(int times) throws Exception {
    Set<String> requestIds = new HashSet<>();
    for (int number = 0; number < times; number++) {
      awaitServed(gateway(number), SECOND);
      requestIds.add(send(gateway(number), FIRST, POISON, SECOND).requestId());
    }
    return requestIds;
  }

  /** Requests without the part have been served; then those with it come, until nodes know it. */
  private void crashEngines(EngineCrash when) throws Exception {
    platform.crashOn(PoisonRequests.withPromptPart(POISON), when);
    for (GatewayServer gateway : gateways) {
      awaitServed(gateway, FIRST, SECOND);
    }
    sendPoison(FIRST_SENDS);
  }

  @ParameterizedTest
  @EnumSource(
      value = EngineCrash.class,
      names = {"BEFORE_ANSWER", "MIDWAY"})
  void requestsWithThePartAreNotSentOnByAnyNode(EngineCrash when) throws Exception {
    crashEngines(when);
    assertThat(platform.crashes()).isLessThanOrEqualTo(TOLERATED_CRASHES);
    assertThat(arrivals(sendPoison(SENDS_AFTERWARDS))).isLessThanOrEqualTo(TOLERATED_SENDS);
  }

  /**
   * An engine that crashes between two events of an answer without a length or chunks seems to have
   * answered. That cleared the part each time: 16 engines crashed in 16 requests.
   */
  @Test
  void answerThatEndsWithTheConnectionOfACrashingEngineDoesNotClearThePart() throws Exception {
    platform.endAnswersWithConnection();
    crashEngines(EngineCrash.MIDWAY);
    assertThat(platform.crashes()).isLessThanOrEqualTo(TOLERATED_CRASHES);
    assertThat(arrivals(sendPoison(SENDS_AFTERWARDS))).isLessThanOrEqualTo(TOLERATED_SENDS);
  }

  @Test
  void requestsThatShareTheOtherPartsAreServed() throws Exception {
    crashEngines(EngineCrash.MIDWAY);
    for (GatewayServer gateway : gateways) {
      for (int number = 0; number < SENDS_AFTERWARDS; number++) {
        assertThat(send(gateway, FIRST, SECOND).status()).isEqualTo(200);
        assertThat(send(gateway, FIRST, "other" + number).status()).isEqualTo(200);
      }
    }
  }

  /** No node has had an answer on these parts, so that nothing but later answers clears them. */
  @Test
  void partsThatWereNeverAnsweredBeforeAreServedOnceTheyComeWithoutThePart() throws Exception {
    platform.crashOn(PoisonRequests.withPromptPart(POISON), EngineCrash.MIDWAY);
    sendPoison(FIRST_SENDS);
    for (GatewayServer gateway : gateways) {
      awaitServed(gateway, FIRST);
      assertThat(send(gateway, FIRST, SECOND).status()).isEqualTo(200);
    }
    assertThat(arrivals(sendPoison(SENDS_AFTERWARDS))).isLessThanOrEqualTo(TOLERATED_SENDS);
  }

  @Test
  void nodesThatAllStartAnewKnowThePart() throws Exception {
    crashEngines(EngineCrash.BEFORE_ANSWER);
    await().atMost(LONGEST).until(() -> platform.store().holds(TABLE));
    for (GatewayServer gateway : gateways) {
      gateway.close();
    }
    gateways.clear();
    gateways.add(platform.addGateway());
    assertThat(arrivals(sendPoison(SENDS_AFTERWARDS))).isLessThanOrEqualTo(TOLERATED_SENDS);
  }

  @Test
  void callerIsToldWhichPartAndNotToComeBack() throws Exception {
    crashEngines(EngineCrash.MIDWAY);
    Answer refused = send(gateway(0), FIRST, POISON);
    assertThat(refused.status()).isEqualTo(503);
    assertThat(refused.body()).contains("part " + POISON);
    assertThat(refused.headers().contains("Retry-After")).isFalse();
    assertThat(arrivals(Set.of(refused.requestId()))).isZero();
  }
}
