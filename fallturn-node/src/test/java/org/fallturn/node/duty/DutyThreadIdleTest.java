package org.fallturn.node.duty;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Guards against a duty that stops ticking, or misses the next event, once it has been idle for so
 * long that it waits for the longer idle interval.
 */
class DutyThreadIdleTest {

  @Test
  void idleDutyStillTicksAndTakesTheNextEvent() {
    AtomicInteger ticks = new AtomicInteger();
    List<String> events = new CopyOnWriteArrayList<>();
    DutyHandler<String> handler =
        new DutyHandler<>() {
          @Override
          public void onEvent(String event) {
            events.add(event);
          }

          @Override
          public void onTick() {
            ticks.incrementAndGet();
          }
        };
    try (DutyThread<String> duty =
        new DutyThread<>("test", 8, Duration.ofMillis(1), handler).start()) {
      duty.offer("first");
      await().atMost(Duration.ofSeconds(30)).until(() -> events.size() == 1);
      long idleFrom = System.nanoTime();
      await()
          .atMost(Duration.ofSeconds(30))
          .until(() -> System.nanoTime() - idleFrom > Duration.ofSeconds(2).toNanos());
      int idleTicks = ticks.get();
      await().atMost(Duration.ofSeconds(30)).until(() -> ticks.get() > idleTicks + 3);
      duty.offer("second");
      await().atMost(Duration.ofSeconds(30)).until(() -> events.size() == 2);
    }
    assertThat(events).containsExactly("first", "second");
  }
}
