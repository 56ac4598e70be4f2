package org.fallturn.node.duty;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;

/**
 * An Error once ended the thread of a duty without a line in the log. Its ring filled up, whoever
 * offered events waited for room, and what the duty held was held for good.
 */
class DutyThreadFaultTest {

  private static final Duration LONGEST = Duration.ofSeconds(30);
  private static final int RING_SIZE = 4;

  private final List<String> done = new CopyOnWriteArrayList<>();
  private final List<String> faults = new CopyOnWriteArrayList<>();
  private volatile boolean tickFails;

  /** Does what its events say. */
  private final class Scripted implements DutyHandler<String> {

    @Override
    public void onEvent(String event) {
      if (event.equals("error")) {
        throw new NoClassDefFoundError("a/B");
      } else if (event.equals("memory")) {
        throw new OutOfMemoryError("thrown by a test");
      }
      done.add(event);
    }

    @Override
    public void onTick() {
      if (tickFails) {
        tickFails = false;
        throw new NoClassDefFoundError("a/B");
      }
    }

    @Override
    public void onEnd() {
      done.add("end");
      throw new NoClassDefFoundError("c/D");
    }

    @Override
    public void onUnhandledEvent(String event) {
      done.add("late " + event);
      if (event.equals("2")) {
        throw new NoClassDefFoundError("c/D");
      }
    }
  }

  private DutyThread<String> start(DutyState state) {
    return new DutyThread<>("test", RING_SIZE, Duration.ofMillis(1), new Scripted())
        .start(state, (duty, fault, answer) -> faults.add(duty + " " + fault.getClass().getName()));
  }

  private static void tell(DutyThread<String> duty, String event) {
    await().atMost(LONGEST).until(() -> duty.offer(event));
  }

  @Test
  void nextEventFollowsAnError() {
    try (DutyThread<String> duty = start(DutyState.LEARNED_AGAIN)) {
      tell(duty, "error");
      tell(duty, "next");
      await().atMost(LONGEST).until(() -> done.contains("next"));
    }
    assertThat(faults).containsExactly("test java.lang.NoClassDefFoundError");
  }

  @Test
  void errorOfATickIsToldAndEventsFollow() {
    tickFails = true;
    try (DutyThread<String> duty = start(DutyState.LEARNED_AGAIN)) {
      await().atMost(LONGEST).until(() -> !tickFails);
      tell(duty, "next");
      await().atMost(LONGEST).until(() -> done.contains("next"));
    }
    assertThat(faults).hasSize(1);
  }

  @Test
  void dutyWhoseStateIsUnknownGivesUpWhatItHoldsAndTheRingIsStillEmptied() {
    try (DutyThread<String> duty = start(DutyState.HELD_ALONE)) {
      tell(duty, "error");
      for (int event = 0; event < 2 * RING_SIZE; event++) {
        tell(duty, Integer.toString(event));
      }
      await().atMost(LONGEST).until(() -> done.contains("late " + (2 * RING_SIZE - 1)));
    }
    assertThat(done).startsWith("end", "late error", "late 0").doesNotContain("0");
    assertThat(faults).hasSize(3);
  }

  @Test
  void dutyEndsForWantOfMemoryOrWhenItIsTold() {
    try (DutyThread<String> duty = start(DutyState.LEARNED_AGAIN)) {
      tell(duty, "memory");
      await().atMost(LONGEST).until(() -> done.contains("late memory"));
    }
    done.clear();
    try (DutyThread<String> duty = start(DutyState.LEARNED_AGAIN)) {
      duty.end();
      await().atMost(LONGEST).until(() -> done.contains("end"));
    }
  }
}
