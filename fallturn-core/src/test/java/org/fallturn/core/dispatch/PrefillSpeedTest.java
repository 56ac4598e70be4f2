package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class PrefillSpeedTest {

  private static final double GUESS = 40;

  /** Else a node whose calls take long sends every prompt to decode engines. */
  @Test
  void overheadOfACallDoesNotSpeakAgainstReadingAhead() {
    PrefillSpeed speed = new PrefillSpeed(GUESS);
    for (int tokens = 2_000; tokens < 20_000; tokens += 1_000) {
      speed.observe(0, tokens, 200 + tokens / 61.0);
    }
    assertThat(speed.prefillMillis(0)).isZero();
    assertThat(speed.decodeMillis(5_000)).isCloseTo(2 * speed.prefillMillis(5_000), within(1e-9));
  }

  @Test
  void samplesThatABusyNodeTimedLateAreForgottenSoon() {
    PrefillSpeed speed = new PrefillSpeed(GUESS);
    speed.observe(0, 3_000, 400);
    speed.observe(0, 9_000, 260);
    for (int sample = 0; sample < 15; sample++) {
      speed.observe(0, 4_000, 4_000 / 61.0);
    }
    assertThat(speed.tokenMillis()).isBetween(1 / 80.0, 1 / 50.0);
  }

  /** What a node that was just told a speed tells others is not a guess of its own. */
  @Test
  void whatWasToldIsTakenOnceAndOnlyByANodeThatHasSeenLittle() {
    PrefillSpeed started = new PrefillSpeed(GUESS);
    started.onPeerReport(new LearnedSpeed(0.005));
    started.onPeerReport(new LearnedSpeed(0.5));
    assertThat(started.tokenMillis()).isCloseTo(0.005, within(1e-9));
    assertThat(started.isKnown()).isTrue();
  }

  /** In a fleet under load most prompts wait, some of them behind what is not known yet. */
  @Test
  void promptsThatWaitedDoNotMakeEnginesSeemSlow() {
    PrefillSpeed speed = new PrefillSpeed(GUESS);
    for (int sample = 0; sample < 100; sample++) {
      speed.observe(20_000, 5_000, 900);
      speed.observe(0, 5_000, sample % 4 == 0 ? 100 : 400);
    }
    assertThat(speed.tokenMillis()).isBetween(1 / 55.0, 1 / 30.0);
  }

  @Test
  void learnsWithinAFewSamples() {
    PrefillSpeed speed = new PrefillSpeed(GUESS);
    assertThat(speed.isKnown()).isFalse();
    for (int tokens = 2_000; tokens < 14_000; tokens += 1_000) {
      speed.observe(0, tokens, 5 + tokens / 300.0);
    }
    assertThat(speed.isKnown()).isTrue();
    assertThat(speed.tokenMillis()).isBetween(1 / 450.0, 1 / 150.0);
  }
}
