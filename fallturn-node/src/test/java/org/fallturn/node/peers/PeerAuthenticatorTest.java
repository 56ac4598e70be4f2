package org.fallturn.node.peers;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerAuthenticatorTest {

  private static final String PATH = "/peer/configuration/push";
  private static final byte[] BODY = bytes("{\"version\":1}");

  private final AtomicLong clock = new AtomicLong(1_000_000);
  private final PeerAuthenticator sender = new PeerAuthenticator(bytes("key"), clock::get);
  private final PeerAuthenticator receiver = new PeerAuthenticator(bytes("key"), clock::get);

  @Test
  void messageOfKeyHolderPassesOnce() {
    String header = sender.sign(PATH, BODY);

    assertThatCode(() -> receiver.verify(PATH, header, BODY)).doesNotThrowAnyException();
    assertThatThrownBy(() -> receiver.verify(PATH, header, BODY))
        .hasMessageContaining("received before");
  }

  @Test
  void replayIsRefusedForAsLongAsItsClockWouldPass() {
    clock.addAndGet(PeerAuthenticator.MAX_AGE_MILLIS);
    String ahead = sender.sign(PATH, BODY);
    clock.addAndGet(-PeerAuthenticator.MAX_AGE_MILLIS);
    assertThatCode(() -> receiver.verify(PATH, ahead, BODY)).doesNotThrowAnyException();

    for (int step = 0; step < 6; step++) {
      clock.addAndGet(PeerAuthenticator.MAX_AGE_MILLIS / 3);
      assertThatCode(() -> receiver.verify(PATH, sender.sign(PATH, BODY), BODY))
          .doesNotThrowAnyException();
      assertThatThrownBy(() -> receiver.verify(PATH, ahead, BODY))
          .hasMessageContaining("received before");
    }
    clock.addAndGet(1);
    assertThatThrownBy(() -> receiver.verify(PATH, ahead, BODY)).hasMessageContaining("ms old");
  }

  @Test
  void otherKeyPathOrBodyIsRefused() {
    PeerAuthenticator stranger = new PeerAuthenticator(bytes("other"), clock::get);

    assertThatThrownBy(() -> receiver.verify(PATH, stranger.sign(PATH, BODY), BODY))
        .hasMessageContaining("cluster key");
    assertThatThrownBy(() -> receiver.verify("/peer/other", sender.sign(PATH, BODY), BODY))
        .hasMessageContaining("cluster key");
    assertThatThrownBy(() -> receiver.verify(PATH, sender.sign(PATH, BODY), bytes("{}")))
        .hasMessageContaining("cluster key");
  }

  @Test
  void absentHeaderIsRefused() {
    assertThatThrownBy(() -> receiver.verify(PATH, null, BODY))
        .hasMessageContaining("needs header");
  }

  @ParameterizedTest
  @ValueSource(strings = {"", " ", "1 2", "a b c", "1 2 zz", "1 2 00", "99999999999999999999 1 00"})
  void unreadableHeaderIsRefused(String header) {
    assertThatThrownBy(() -> receiver.verify(PATH, header, BODY))
        .isInstanceOf(org.fallturn.core.error.FallturnException.class);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
