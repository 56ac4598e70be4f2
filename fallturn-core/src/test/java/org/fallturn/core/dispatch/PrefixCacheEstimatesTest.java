package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixCacheEstimatesTest {

  private static final long CAPACITY = 1_000;

  private final PrefixCacheEstimates parts = new PrefixCacheEstimates();

  private static PromptPart part(String id, int tokens) {
    return new PromptPart(id, tokens);
  }

  @Test
  void partIsCountedOnlyWhenThoseBeforeItAreKept() {
    parts.record("e", CAPACITY, List.of(part("b", 50)), 0);
    assertThat(parts.cachedTokens("e", List.of(part("a", 30), part("b", 50)))).isZero();
    parts.record("e", CAPACITY, List.of(part("a", 30)), 0);
    assertThat(parts.cachedTokens("e", List.of(part("a", 30), part("b", 50)))).isEqualTo(80);
  }

  @Test
  void partThatIsKeptInPartCountsAsFarAsItIsKept() {
    parts.record("e", CAPACITY, List.of(part("a", 20), part("b", 50)), 0);
    assertThat(parts.cachedTokens("e", List.of(part("a", 30), part("b", 50)))).isEqualTo(20);
    parts.record("e", CAPACITY, List.of(part("a", 30)), 0);
    assertThat(parts.cachedTokens("e", List.of(part("a", 30), part("b", 50)))).isEqualTo(80);
  }

  @Test
  void leastRecentlyUsedPartsGiveWay() {
    parts.record("e", CAPACITY, List.of(part("a", 400)), 0);
    parts.record("e", CAPACITY, List.of(part("b", 400)), 0);
    parts.record("e", CAPACITY, List.of(part("a", 400)), 0);
    parts.record("e", CAPACITY, List.of(part("c", 400)), 0);
    assertThat(parts.cachedTokens("e", List.of(part("a", 400)))).isEqualTo(400);
    assertThat(parts.cachedTokens("e", List.of(part("b", 400)))).isZero();
  }

  @Test
  void listOfTheEngineReplacesWhatWasBelieved() {
    long asked = Duration.ofSeconds(60).toNanos();
    parts.record("e", CAPACITY, List.of(part("gone", 10)), 0);
    parts.record("e", CAPACITY, List.of(part("kept", 20)), 0);
    parts.record("e", CAPACITY, List.of(part("being read", 30)), asked);
    parts.replace("e", List.of(part("kept", 20), part("unknown", 40)), 0, asked);
    assertThat(parts.cachedTokens("e", List.of(part("gone", 10)))).isZero();
    assertThat(parts.cachedTokens("e", List.of(part("kept", 20)))).isEqualTo(20);
    assertThat(parts.cachedTokens("e", List.of(part("being read", 30)))).isEqualTo(30);
    assertThat(parts.cachedTokens("e", List.of(part("unknown", 40)))).isEqualTo(40);
  }

  @Test
  void partThatOnlyTheListToldGivesWayFirst() {
    parts.record("e", CAPACITY, List.of(part("used", 400)), 0);
    parts.replace("e", List.of(part("used", 400), part("listed", 400)), 0, 1);
    parts.record("e", CAPACITY, List.of(part("new", 400)), 2);
    assertThat(parts.cachedTokens("e", List.of(part("listed", 400)))).isZero();
    assertThat(parts.cachedTokens("e", List.of(part("used", 400)))).isEqualTo(400);
  }
}
