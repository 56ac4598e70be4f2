package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import org.fallturn.core.routing.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that is refused as not run while it runs: its caller came back with the
 * id that the engine had refused, over the connection of the refusal, and the engine's copy of that
 * refusal was read in the place of the answer.
 */
class CopiedRefusalTest extends OneEngineTest {

  /** More than this node may open connections to the engine at a time. */
  private static final int RETURNS = OneEngineGateway.ENGINE_CONNECTIONS;

  private static final String ID = "once";
  private static final String NOT_EXECUTED = OneEngineGateway.NOT_EXECUTED_HEADER + ": 1\r\n";
  private static final String REFUSAL =
      "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n%s%s: %s\r\n\r\n"
          .formatted(NOT_EXECUTED, OneEngineGateway.ID_HEADER, ID);

  /** Whoever sends the request: a caller of this node, or another node. */
  @FunctionalInterface
  private interface Sender {
    Socket send() throws IOException;
  }

  private Socket sendAsCaller() throws IOException {
    return OneEngineGateway.send(gateway.callersAddress(), ID, "", 0);
  }

  private Socket sendAsNode() throws IOException {
    return OneEngineGateway.forward(gateway, "e-1", ID, "");
  }

  /** Waits until the request has come so often; returns the connection that it came over last. */
  private RawEngine.Connection awaitArrival(int times) {
    await().atMost(LONGEST).until(() -> engine.timesGot(ID) == times);
    return engine.lastConnectionOf(ID);
  }

  private void refuse(Sender sender, int times) throws IOException {
    try (Socket refused = sender.send()) {
      awaitArrival(times).send(REFUSAL);
      assertThat(OneEngineGateway.readStatus(refused)).isEqualTo("HTTP/1.1 503");
    }
  }

  /** The engine runs the request that comes back, and sends copies of its refusals before. */
  private void assertAnsweredWhenItComesBack(Sender sender, int timesRefused) throws IOException {
    try (Socket back = sender.send()) {
      RawEngine.Connection runs = awaitArrival(timesRefused + 1);
      engine.connections().stream()
          .filter(connection -> connection != runs || connection.timesGot(ID) > 1)
          .filter(connection -> !connection.ended())
          .forEach(connection -> connection.sendIfOpen(REFUSAL));
      runs.answer(ID);
      assertThat(OneEngineGateway.readStatus(back)).isEqualTo("HTTP/1.1 200");
    }
  }

  @Test
  void copyOfRefusalIsNotTheAnswerToItsCallerWhoComesBack() throws Exception {
    refuse(this::sendAsCaller, 1);
    assertAnsweredWhenItComesBack(this::sendAsCaller, 1);
  }

  @Test
  void copyOfRefusalIsNotTheAnswerToAnotherNodeThatHasItForwardedAgain() throws Exception {
    refuse(this::sendAsNode, 1);
    assertAnsweredWhenItComesBack(this::sendAsNode, 1);
  }

  @Test
  void copyOfRefusalToAnotherNodeIsNotTheAnswerToTheCaller() throws Exception {
    refuse(this::sendAsNode, 1);
    assertAnsweredWhenItComesBack(this::sendAsCaller, 1);
  }

  @Test
  void copyOfFailureIsNotTheAnswerToItsCallerWhoComesBack() throws Exception {
    String failure = REFUSAL.replace("503 Busy", "500 Failed").replace(NOT_EXECUTED, "");
    try (Socket failed = sendAsCaller()) {
      awaitArrival(1).send(failure);
      assertThat(OneEngineGateway.readStatus(failed)).isEqualTo("HTTP/1.1 500");
    }
    try (Socket back = sendAsCaller()) {
      RawEngine.Connection runs = awaitArrival(2);
      engine.connectionOf(ID).sendIfOpen(failure);
      runs.answer(ID);
      assertThat(OneEngineGateway.readStatus(back)).isEqualTo("HTTP/1.1 200");
    }
  }

  /** Another engine is listed at the address; the node tries it once the first has refused. */
  @Test
  void copyOfRefusalIsNotTheAnswerOfTheNextEngineAtTheAddress() throws Exception {
    gateway.close();
    gateway = OneEngineGateway.start(RequestKind.IDEMPOTENT, headers -> headers, engine, engine);
    try (Socket caller = sendAsCaller()) {
      awaitArrival(1).send(REFUSAL);
      RawEngine.Connection runs = awaitArrival(2);
      engine.connectionOf(ID).sendIfOpen(REFUSAL);
      runs.answer(ID);
      assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 200");
    }
  }

  @Test
  void noConnectionCarriesAnIdTwiceThoughAllConnectionsHaveCarriedIt() throws Exception {
    for (int times = 1; times <= RETURNS; times++) {
      refuse(this::sendAsCaller, times);
    }
    assertAnsweredWhenItComesBack(this::sendAsCaller, RETURNS);
    assertThat(engine.connections())
        .hasSize(RETURNS + 1)
        .allSatisfy(connection -> assertThat(connection.timesGot(ID)).isEqualTo(1));
  }

  @Test
  void requestsWithIdsOfTheirOwnShareOneConnection() throws Exception {
    for (int number = 1; number <= RETURNS; number++) {
      String id = "own-" + number;
      try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), id, "", 0)) {
        await().atMost(LONGEST).until(() -> engine.answerIfCome(id));
        assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 200");
      }
    }
    assertThat(engine.connections()).hasSize(1);
  }
}
