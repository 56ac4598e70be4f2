package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.WeightedService;
import org.junit.jupiter.api.Test;

/**
 * Checks that requests are divided by weight after any number of requests, not only in the long
 * run, and that changed weights apply at once.
 */
class ServiceSplitTest {

  private static Route route(WeightedService... services) {
    Duration second = Duration.ofSeconds(1);
    return new Route(
        "r",
        "h",
        "/",
        RequestKind.IDEMPOTENT,
        false,
        second,
        second,
        second,
        second,
        0,
        1,
        List.of(services));
  }

  @Test
  void countsStayWithinOneRequestOfTheShares() {
    Route route = route(new WeightedService("a", 90), new WeightedService("b", 10));
    ServiceSplit split = new ServiceSplit();
    Map<String, Integer> counts = new HashMap<>();
    for (int request = 1; request <= 1_000; request++) {
      counts.merge(split.next(route), 1, Integer::sum);
      assertThat(counts.getOrDefault("b", 0) - request * 0.1).isBetween(-1.0, 1.0);
    }
  }

  @Test
  void serviceOfWeightZeroGetsNoRequests() {
    Route route = route(new WeightedService("a", 0), new WeightedService("b", 5));
    ServiceSplit split = new ServiceSplit();
    for (int request = 0; request < 100; request++) {
      assertThat(split.next(route)).isEqualTo("b");
    }
  }

  @Test
  void changedWeightsApplyAtOnce() {
    ServiceSplit split = new ServiceSplit();
    split.next(route(new WeightedService("a", 1), new WeightedService("b", 1)));
    Route after = route(new WeightedService("a", 0), new WeightedService("b", 1));
    assertThat(split.next(after)).isEqualTo("b");
  }
}
