package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stream that two engines write. The first event of an engine that was given up
 * for its silence was passed on while the request was already sent to another engine.
 */
class AttemptStateTest {

  private static final int RACES = 2_000;

  @Test
  void attemptThatRelaysIsNotEndedForItsSilence() {
    AttemptState state = new AttemptState();
    assertThat(state.relay()).isTrue();
    assertThat(state.endIfWaiting()).isFalse();
    assertThat(state.relay()).isTrue();
  }

  @Test
  void eitherTheFirstEventIsRelayedOrTheAttemptIsGivenUp() throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(2);
    try {
      CyclicBarrier start = new CyclicBarrier(2);
      for (int race = 0; race < RACES; race++) {
        AttemptState state = new AttemptState();
        Future<Boolean> relayed =
            threads.submit(
                () -> {
                  start.await();
                  return state.relay();
                });
        Future<Boolean> givenUp =
            threads.submit(
                () -> {
                  start.await();
                  return state.endIfWaiting();
                });
        assertThat(relayed.get()).isNotEqualTo(givenUp.get());
      }
    } finally {
      threads.shutdownNow();
    }
  }
}
