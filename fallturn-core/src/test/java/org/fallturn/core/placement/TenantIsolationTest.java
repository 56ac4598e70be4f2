package org.fallturn.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.placement.SchedulerFixture.SECOND;
import static org.fallturn.core.placement.SchedulerFixture.request;
import static org.fallturn.core.placement.SchedulerFixture.slots;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.fallturn.core.placement.PlacementProgress.Stage;
import org.junit.jupiter.api.Test;

/**
 * A victim uses a quarter of a pool; an aggressor of equal weight and urgency floods it with twenty
 * times as much and longer prompts. In virtual time, with engines that take as long as they say.
 */
class TenantIsolationTest {
  private static final int SLOTS = 8;
  private static final long STREAM_NANOS = 2 * SECOND;
  private static final long PREFILL_NANOS = SECOND / 20;
  private static final int VICTIM_REQUESTS = 500;
  private static final double VICTIM_RATE = 2;
  private static final int FLOOD = 20;

  @Test
  void aFloodNeitherRefusesNorLongDelaysTheVictim() {
    Run alone = new Run(0);
    Run flooded = new Run(FLOOD);

    assertThat(alone.refused).isZero();
    assertThat(flooded.refused).isZero();
    assertThat(flooded.waits).hasSize(VICTIM_REQUESTS);
    assertThat(flooded.percentile99()).isLessThan(STREAM_NANOS / 2);
    assertThat(flooded.aggressorPlaced).isGreaterThan(VICTIM_REQUESTS);
  }

  /** One run with so many aggressor requests to each of the victim's. */
  private static final class Run {
    private final Random random = new Random(7);
    private final SchedulerFixture pool = new SchedulerFixture(slots(SLOTS, 200), 2, 2);
    private final PriorityQueue<End> ends =
        new PriorityQueue<>(Comparator.comparingLong(End::nanos));
    private final Map<String, PlacementRequest> requests = new HashMap<>();
    private final Map<String, Long> asked = new HashMap<>();
    private final List<Long> waits = new ArrayList<>();
    private int refused;
    private int aggressorPlaced;

    Run(int flood) {
      long now = 0;
      for (int index = 0; index < VICTIM_REQUESTS; index++) {
        now += (long) (-Math.log(1 - random.nextDouble()) / VICTIM_RATE * SECOND);
        endUntil(now);
        for (int attack = 0; attack < flood; attack++) {
          submit(
              request("aggressor-" + index + "-" + attack)
                  .tenant("aggressor", 1)
                  .prompt(8000, List.of())
                  .deadlineMillis(30_000)
                  .build(),
              now);
        }
        submit(request("victim-" + index).tenant("victim", 1).deadlineMillis(10_000).build(), now);
      }
      endUntil(now + 60 * SECOND);
    }

    private void submit(PlacementRequest request, long now) {
      requests.put(request.requestId().value(), request);
      asked.put(request.requestId().value(), now);
      act(pool.submit(request, now), now);
    }

    private void endUntil(long until) {
      while (!ends.isEmpty() && ends.peek().nanos() <= until) {
        End end = ends.poll();
        act(pool.report(end.request(), end.stage(), 10, end.nanos()), end.nanos());
      }
      pool.scheduler.advance(until);
      act(pool.scheduler.takeDecisions(), until);
    }

    private void act(List<PlacementDecision> decisions, long now) {
      for (PlacementDecision decision : decisions) {
        String id = decision.requestId().value();
        boolean placed = SchedulerFixture.isPlaced(decision);
        if (placed) {
          PlacementRequest request = requests.get(id);
          ends.add(new End(now + PREFILL_NANOS, request, Stage.PREFILLED));
          ends.add(new End(now + STREAM_NANOS, request, Stage.COMPLETED));
        }
        count(id, placed, now);
      }
    }

    private void count(String id, boolean placed, long now) {
      if (!id.startsWith("victim")) {
        aggressorPlaced += placed ? 1 : 0;
      } else if (placed) {
        waits.add(now - asked.get(id));
      } else {
        refused++;
      }
    }

    long percentile99() {
      List<Long> sorted = new ArrayList<>(waits);
      sorted.sort(Comparator.naturalOrder());
      return sorted.get(sorted.size() * 99 / 100);
    }
  }

  private record End(long nanos, PlacementRequest request, Stage stage) {}
}
