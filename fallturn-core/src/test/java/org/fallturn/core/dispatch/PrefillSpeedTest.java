package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/**
 * The learned speed must follow the actual speed of the engines. Delays other than reading, such as
 * slow calls of a busy node and the waiting time of prompts, must not make engines seem slow.
 */
class PrefillSpeedTest {

  private static final double ASSUMED_SPEED = 40;

  /**
   * Guards against sending every prompt to decode engines: a node whose calls are slow must not
   * attribute the overhead of the calls to the prefill engines.
   */
  @Test
  void overheadOfACallDoesNotFavorDecodeEngines() {
    PrefillSpeed speed = new PrefillSpeed(ASSUMED_SPEED);
    for (int tokens = 2_000; tokens < 20_000; tokens += 1_000) {
      speed.observe(0, tokens, 200 + tokens / 61.0);
    }
    assertThat(speed.prefillMillis(0)).isZero();
    assertThat(speed.decodeMillis(5_000)).isCloseTo(2 * speed.prefillMillis(5_000), within(1e-9));
  }

  @Test
  void lateMeasurementsOfABusyNodeSoonLoseWeight() {
    PrefillSpeed speed = new PrefillSpeed(ASSUMED_SPEED);
    speed.observe(0, 3_000, 400);
    speed.observe(0, 9_000, 260);
    for (int sample = 0; sample < 15; sample++) {
      speed.observe(0, 4_000, 4_000 / 61.0);
    }
    assertThat(speed.tokenMillis()).isBetween(1 / 80.0, 1 / 50.0);
  }

  /**
   * A node that has just adopted a speed reports it to others, so the reported speed must not be
   * the node's configured assumption.
   */
  @Test
  void speedOfAnotherNodeIsAdoptedOnceAndOnlyWithFewSamples() {
    PrefillSpeed speed = new PrefillSpeed(ASSUMED_SPEED);
    speed.onPeerReport(new LearnedSpeed(0.005));
    speed.onPeerReport(new LearnedSpeed(0.5));
    assertThat(speed.tokenMillis()).isCloseTo(0.005, within(1e-9));
    assertThat(speed.isKnown()).isTrue();
  }

  /** Under load most prompts wait, some of them behind prompts that this node does not know yet. */
  @Test
  void promptsThatWaitedDoNotMakeEnginesSeemSlow() {
    PrefillSpeed speed = new PrefillSpeed(ASSUMED_SPEED);
    for (int sample = 0; sample < 100; sample++) {
      speed.observe(20_000, 5_000, 900);
      speed.observe(0, 5_000, sample % 4 == 0 ? 100 : 400);
    }
    assertThat(speed.tokenMillis()).isBetween(1 / 55.0, 1 / 30.0);
  }

  @Test
  void speedIsLearnedFromFewSamples() {
    PrefillSpeed speed = new PrefillSpeed(ASSUMED_SPEED);
    assertThat(speed.isKnown()).isFalse();
    for (int tokens = 2_000; tokens < 14_000; tokens += 1_000) {
      speed.observe(0, tokens, 5 + tokens / 300.0);
    }
    assertThat(speed.isKnown()).isTrue();
    assertThat(speed.tokenMillis()).isBetween(1 / 450.0, 1 / 150.0);
  }
}
