package org.fallturn.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/**
 * Guards against a wrong order of requests when tenants and routes both have priorities: a tenant's
 * priority must take precedence, and levels must be numbered without gaps for each service.
 */
class RankingTest {

  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Caller FIRST = Caller.of(new Tenant("first", OptionalInt.of(0)));
  private static final Caller SECOND_CALLER = Caller.of(new Tenant("second", OptionalInt.of(4)));

  private static Route route(String service, int priority) {
    return new Route(
        service + priority,
        "host",
        "/",
        RequestKind.IDEMPOTENT,
        false,
        SECOND,
        SECOND,
        SECOND,
        SECOND,
        priority,
        1,
        List.of(new WeightedService(service, 1)));
  }

  private final Route urgent = route("llm", 0);
  private final Route patient = route("llm", 1);
  private final Route application = route("app", 2);

  @Test
  void tenantPriorityTakesPrecedenceOverRoutePriority() {
    Ranking ranking = new Ranking(List.of(urgent, patient, application), List.of(0, 4));
    assertThat(ranking.of(urgent, FIRST)).isEqualTo(new Rank(0, 4));
    assertThat(ranking.of(patient, FIRST)).isEqualTo(new Rank(1, 4));
    assertThat(ranking.of(urgent, SECOND_CALLER)).isEqualTo(new Rank(2, 4));
    assertThat(ranking.of(patient, SECOND_CALLER)).isEqualTo(new Rank(3, 4));
    assertThat(ranking.of(application, FIRST)).isEqualTo(new Rank(0, 2));
  }

  @Test
  void callersWithoutPriorityRankWithTheLeastUrgentTenant() {
    Ranking ranking = new Ranking(List.of(urgent, patient), List.of(0, 4));
    assertThat(ranking.of(urgent, Caller.ANONYMOUS)).isEqualTo(new Rank(2, 4));
  }

  @Test
  void withoutTenantsTheRoutePriorityDecides() {
    Ranking ranking = new Ranking(List.of(urgent, patient, application), List.of());
    assertThat(ranking.of(application, Caller.UNCHECKED)).isEqualTo(new Rank(2, 1));
  }
}
