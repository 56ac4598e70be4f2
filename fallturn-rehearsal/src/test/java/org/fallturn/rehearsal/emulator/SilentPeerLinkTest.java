package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fallturn.node.gateway.GatewayServer;
import org.fallturn.rehearsal.faults.LinkFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that is at two engines at once. Its gateway reaches the engines through
 * others; the link to the one that had the request falls silent, the gateway sends it on through
 * another, and the first does not learn of that and goes on at its engine.
 */
class SilentPeerLinkTest {

  private static final Duration LONGEST = Duration.ofSeconds(30);
  private static final Duration SOON = Duration.ofSeconds(4);

  /** So many requests that one may be sent again. */
  private static final int IN_A_ROW = 100;

  /** What engines are promised: from the begin at one to the end at the one before. */
  private static final long OVERLAP_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final EngineLinks links = new EngineLinks();
  private EmulatedPlatform platform;
  private EmulatedClient client;
  private PeerLink firstLink;
  private PeerLink secondLink;
  private GatewayServer first;
  private GatewayServer second;
  private GatewayServer cutOff;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    client = new EmulatedClient();
    int port = PeerLink.freePort();
    firstLink = new PeerLink(0, port);
    secondLink = new PeerLink(1, port);
    platform.addEngine("a-1", EmulatedPlatform.APPLICATION_SERVICE, "");
    platform.addEngine("a-2", EmulatedPlatform.APPLICATION_SERVICE, "");
    first = platform.addGateway(firstLink);
    second = platform.addGateway(secondLink, firstLink.advertised());
    cutOff = platform.addGateway(links, firstLink.advertised(), secondLink.advertised());
    await().atMost(LONGEST).until(() -> cutOff.engineCount() == 2 && cutOff.nodeCount() == 3);
    links.setAll(LinkFaults.CUT);
    await().atMost(LONGEST).until(this::isServedInARow);
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    platform.close();
    links.close();
    firstLink.close();
    secondLink.close();
  }

  /** Engines are reached through others only while those hear them. */
  private boolean isServedInARow() throws Exception {
    for (int number = 0; number < IN_A_ROW; number++) {
      send(first, SOON).await();
      send(second, SOON).await();
      if (send(cutOff, SOON).await().status() != 200) {
        return false;
      }
    }
    return true;
  }

  private EmulatedClient.Call send(GatewayServer gateway, Duration deadline) {
    return client.send(gateway.callersAddress(), EmulatedPlatform.IDEMPOTENT, 0, deadline);
  }

  private List<OpenWork> worksOn(String requestId) {
    return platform.engines().stream()
        .flatMap(engine -> engine.openWork().stream())
        .filter(work -> work.requestId().equals(requestId))
        .sorted((left, right) -> Long.compare(left.beginNanos(), right.beginNanos()))
        .toList();
  }

  @Test
  void engineBehindASilentLinkIsLeftBeforeAnotherIsAsked() throws Exception {
    platform.engines().forEach(engine -> engine.misbehave(EngineFault.SILENT));
    EmulatedClient.Call call = send(cutOff, LONGEST);
    await().atMost(LONGEST).until(() -> worksOn(call.requestId()).size() == 1);
    PeerLink link = first.inFlight() > 0 ? firstLink : secondLink;
    link.setRequests(LinkFaults.SILENT);
    await().atMost(LONGEST).until(() -> worksOn(call.requestId()).size() == 2);
    List<OpenWork> works = worksOn(call.requestId());
    await().atMost(LONGEST).until(() -> worksOn(call.requestId()).get(0).ended());
    OpenWork before = worksOn(call.requestId()).get(0);
    assertThat(before.endNanos() - works.get(1).beginNanos()).isLessThan(OVERLAP_NANOS);
    call.leave();
  }
}
