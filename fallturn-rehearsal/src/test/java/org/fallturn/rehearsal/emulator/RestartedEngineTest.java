package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.gateway.GatewayServer;
import org.fallturn.rehearsal.emulator.EmulatedClient.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Engines that start again under the ids that they had, and entries of the list that name no
 * engine. That an engine was gone used to show by its id alone: a probe found the same id again,
 * the crash was taken back as if the engine had lived on, and a content that crashes engines was
 * sent on without end. An entry without a service stopped the list from being taken at all.
 */
class RestartedEngineTest {

  private static final int ENGINES = 8;
  private static final int TOLERATED_CRASHES = 3;
  private static final int TOLERATED_SENDS = 3;
  private static final int SENDS_AFTERWARDS = 8;
  private static final int SHORT_PROMPT = 300;
  private static final String POISON = "crashes every engine";
  private static final Duration LONGEST = Duration.ofSeconds(15);

  private EmulatedPlatform platform;
  private EmulatedClient client;
  private GatewayServer gateway;
  private NetworkAddress address;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    platform.keepIdsAcrossRestarts();
    for (int number = 1; number <= ENGINES; number++) {
      platform.addEngine("d-" + number, EmulatedPlatform.MODEL_SERVICE, "decode");
    }
    gateway = platform.addGateway();
    address = gateway.callersAddress();
    client = new EmulatedClient();
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    platform.close();
  }

  private Answer send(String body) throws Exception {
    return client.sendContent(address, EmulatedPlatform.RESUMABLE, SHORT_PROMPT, body).await();
  }

  private long arrivals(Set<String> requestIds) {
    return platform.allEngines().stream()
        .flatMap(engine -> engine.arrivals().stream())
        .filter(arrival -> requestIds.contains(arrival.requestId()))
        .count();
  }

  @Test
  void contentThatCrashesEnginesWhichKeepTheirIdsIsHeldBack() throws Exception {
    platform.crashOn(POISON, EngineCrash.MIDWAY);
    while (platform.crashes() < TOLERATED_CRASHES) {
      assertThat(send(POISON).body()).isNotEqualTo(EmulatedEngine.wholeStream());
    }
    Set<String> requestIds = new HashSet<>();
    for (int number = 0; number < SENDS_AFTERWARDS; number++) {
      await().atMost(LONGEST).until(() -> send("harmless").status() == 200);
      requestIds.add(send(POISON).requestId());
    }
    assertThat(arrivals(requestIds)).isLessThanOrEqualTo(TOLERATED_SENDS);
  }

  @Test
  void entriesThatNameNoEngineLeaveTheOthersInUse() throws Exception {
    EmulatedEngine good = platform.engines().get(0);
    List<String> strange =
        List.of(
            "",
            "[]",
            "null",
            "{\"service\":\"llm\"}",
            good.row(false).replace("\"service\":\"llm\",", ""),
            good.row(false).replace("\"ready\"", "\"dreaming\""),
            good.row(false).replace("\"slots\":8", "\"slots\":\"many\""),
            good.row(false).replace("\"stage\":\"decode\"", "\"stage\":7"),
            good.row(false).replaceAll("\"born\":\\d+", "\"born\":1.5"),
            "\u0000\u0001{");
    for (int number = 0; number < strange.size(); number++) {
      platform.listStrange("strange-" + number, strange.get(number));
    }
    EmulatedEngine late = platform.addEngine("late", EmulatedPlatform.MODEL_SERVICE, "decode");
    await().atMost(LONGEST).until(() -> gateway.engineCount() == ENGINES + 1);
    platform.engines().stream().filter(e -> e != late).forEach(e -> platform.list(e, true));
    await().atMost(LONGEST).until(() -> gateway.leavingCount() == ENGINES);
    assertThat(send("harmless").body()).isEqualTo(EmulatedEngine.wholeStream());
    assertThat(late.runs()).isNotEmpty();
  }

  @Test
  void anEngineThatLeavesIsNotUsedAgainForAnEntryThatCameLate() throws Exception {
    EmulatedEngine leaving = platform.engines().get(0);
    platform.list(leaving, true);
    await().atMost(LONGEST).until(() -> gateway.leavingCount() == 1);
    platform.list(leaving, false);
    platform.addEngine("late", EmulatedPlatform.MODEL_SERVICE, "decode");
    await().atMost(LONGEST).until(() -> gateway.engineCount() == ENGINES + 1);
    assertThat(gateway.leavingCount()).isEqualTo(1);
  }
}
