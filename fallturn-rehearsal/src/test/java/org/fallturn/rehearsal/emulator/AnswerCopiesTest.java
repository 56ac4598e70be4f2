package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against engines that send no copies, or send them on other connections. */
class AnswerCopiesTest {

  private static final int TRIES = 1_000;
  private static final String REFUSAL = "refusal";
  private static final String CALL_OF_A_NODE = "";

  private final Random random = new Random(7);
  private final AnswerCopies copies = new AnswerCopies();

  @Test
  void requestThatComesAgainOnItsConnectionMeetsACopy() throws IOException {
    int met = 0;
    for (int tried = 0; tried < TRIES; tried++) {
      try (Socket connection = new Socket()) {
        copies.given(connection, "r", REFUSAL, random);
        met += copies.takeDue(connection, "r", random).equals(REFUSAL) ? 1 : 0;
      }
    }
    assertThat(met).isBetween(TRIES / 2, TRIES - 1);
  }

  @Test
  void copyComesInPlaceOfAnyNextAnswerAndOnce() throws IOException {
    try (Socket connection = new Socket()) {
      copies.sendNext(connection, REFUSAL);
      assertThat(copies.takeDue(connection, CALL_OF_A_NODE, random)).isEqualTo(REFUSAL);
      assertThat(copies.takeDue(connection, CALL_OF_A_NODE, random)).isEmpty();
    }
  }

  @Test
  void someAnswersAreRepeatedInPlaceOfTheNext() throws IOException {
    int met = 0;
    for (int tried = 0; tried < TRIES; tried++) {
      try (Socket connection = new Socket()) {
        copies.given(connection, "r", REFUSAL, random);
        met += copies.takeDue(connection, "other", random).isEmpty() ? 0 : 1;
      }
    }
    assertThat(met).isBetween(1, TRIES / 2);
  }

  @Test
  void connectionsAreToldApart() throws IOException {
    try (Socket connection = new Socket();
        Socket other = new Socket()) {
      copies.given(connection, "r", REFUSAL, random);
      copies.sendNext(connection, REFUSAL);
      assertThat(copies.takeDue(other, "r", random)).isEmpty();
    }
  }

  @Test
  void callsOfNodesAreNotRemembered() throws IOException {
    try (Socket connection = new Socket()) {
      for (int tried = 0; tried < TRIES; tried++) {
        copies.given(connection, CALL_OF_A_NODE, "report", random);
        assertThat(copies.takeDue(connection, CALL_OF_A_NODE, random)).isEmpty();
      }
    }
  }
}
