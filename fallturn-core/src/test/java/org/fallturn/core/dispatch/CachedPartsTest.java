package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class CachedPartsTest {

  private static final long CAPACITY = 1_000;

  private final CachedParts parts = new CachedParts();

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
}
