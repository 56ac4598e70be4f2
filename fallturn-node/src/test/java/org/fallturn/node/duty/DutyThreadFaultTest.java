package org.fallturn.node.duty;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Guards against an Error that ends a duty's thread without a log line: the ring then fills up, its
 * producers wait for free space, and whatever the duty holds is never released.
 */
class DutyThreadFaultTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int RING_SIZE = 4;

  private final List<String> handled = new CopyOnWriteArrayList<>();
  private final List<String> faults = new CopyOnWriteArrayList<>();
  private final AtomicInteger runsOfLastPart = new AtomicInteger();
  private volatile boolean tickFails;
  private volatile boolean partFails;

  /** Throws what an event asks for, and records all other events. */
  private final class ScriptedHandler implements DutyHandler<String> {

    @Override
    public void onEvent(String event) {
      if (event.equals("error")) {
        throw new NoClassDefFoundError("a/B");
      } else if (event.equals("memory")) {
        throw new OutOfMemoryError("thrown by a test");
      }
      handled.add(event);
    }

    @Override
    public void onTick() {
      if (tickFails) {
        tickFails = false;
        throw new NoClassDefFoundError("a/B");
      }
    }

    @Override
    public List<TickPart> tickParts() {
      return List.of(
          new TickPart("odd", now -> failOnDemand()),
          new TickPart("last", now -> runsOfLastPart.incrementAndGet()));
    }

    private void failOnDemand() {
      if (partFails) {
        throw new IllegalStateException("thrown by a test");
      }
    }

    @Override
    public void onEnd() {
      handled.add("end");
      throw new NoClassDefFoundError("c/D");
    }

    @Override
    public void onUnhandledEvent(String event) {
      handled.add("late " + event);
      if (event.equals("2")) {
        throw new NoClassDefFoundError("c/D");
      }
    }
  }

  private DutyThread<String> start(DutyState state) {
    return new DutyThread<>("test", RING_SIZE, Duration.ofMillis(1), new ScriptedHandler())
        .start(
            state, (duty, fault, decision) -> faults.add(duty + " " + fault.getClass().getName()));
  }

  private static void publish(DutyThread<String> duty, String event) {
    await().atMost(TIMEOUT).until(() -> duty.offer(event));
  }

  @Test
  void nextEventFollowsAnError() {
    try (DutyThread<String> duty = start(DutyState.LEARNED_AGAIN)) {
      publish(duty, "error");
      publish(duty, "next");
      await().atMost(TIMEOUT).until(() -> handled.contains("next"));
    }
    assertThat(faults).containsExactly("test java.lang.NoClassDefFoundError");
  }

  @Test
  void errorOfATickIsReportedAndEventsFollow() {
    tickFails = true;
    try (DutyThread<String> duty = start(DutyState.LEARNED_AGAIN)) {
      await().atMost(TIMEOUT).until(() -> !tickFails);
      publish(duty, "next");
      await().atMost(TIMEOUT).until(() -> handled.contains("next"));
    }
    assertThat(faults).hasSize(1);
  }

  @Test
  void dutyThatAloneHoldsItsStateEndsAndTheRingIsStillDrained() {
    try (DutyThread<String> duty = start(DutyState.HELD_ALONE)) {
      publish(duty, "error");
      for (int event = 0; event < 2 * RING_SIZE; event++) {
        publish(duty, Integer.toString(event));
      }
      await().atMost(TIMEOUT).until(() -> handled.contains("late " + (2 * RING_SIZE - 1)));
    }
    assertThat(handled).startsWith("end", "late error", "late 0").doesNotContain("0");
    assertThat(faults).hasSize(3);
  }

  /** Six faults take longer, with their pauses, than a tick may fail before the duty ends. */
  @Test
  void partOfATickThatAlwaysFailsNeitherSkipsOtherPartsNorEndsTheDuty() {
    partFails = true;
    try (DutyThread<String> duty = start(DutyState.HELD_ALONE)) {
      await().atMost(TIMEOUT).until(() -> faults.size() >= 6);
      int runs = runsOfLastPart.get();
      await().atMost(TIMEOUT).until(() -> runsOfLastPart.get() > runs);
      publish(duty, "next");
      await().atMost(TIMEOUT).until(() -> handled.contains("next"));
    }
    assertThat(handled).doesNotContain("end");
    assertThat(faults).containsOnly("test-odd java.lang.IllegalStateException");
  }

  @Test
  void dutyEndsWhenOutOfMemoryOrWhenAskedTo() {
    try (DutyThread<String> duty = start(DutyState.LEARNED_AGAIN)) {
      publish(duty, "memory");
      await().atMost(TIMEOUT).until(() -> handled.contains("late memory"));
    }
    handled.clear();
    try (DutyThread<String> duty = start(DutyState.LEARNED_AGAIN)) {
      duty.end();
      await().atMost(TIMEOUT).until(() -> handled.contains("end"));
    }
  }
}
