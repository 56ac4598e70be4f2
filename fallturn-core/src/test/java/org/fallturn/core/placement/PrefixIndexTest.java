package org.fallturn.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.CacheEvents.CacheEvent;
import org.fallturn.core.port.engine.CacheEvents.CacheEvent.Kind;
import org.junit.jupiter.api.Test;

class PrefixIndexTest {
  private static final EngineId ENGINE = new EngineId("engine");
  private static final EngineId OTHER = new EngineId("other");

  private final PrefixIndex index = new PrefixIndex(4);

  @Test
  void matchesTheLongestPrefixThatAnEngineHolds() {
    index.expect(ENGINE, List.of(1L, 2L));
    index.expect(OTHER, List.of(1L, 2L, 3L));

    Map<EngineId, Integer> matches = index.longestMatches(List.of(1L, 2L, 3L, 4L));
    assertThat(matches).containsOnlyKeys(OTHER, ENGINE).containsEntry(OTHER, 48);
    assertThat(matches.get(ENGINE)).isBetween(16, 32);
    assertThat(index.longestMatches(List.of(9L))).isEmpty();
  }

  @Test
  void followsEventsAndTakesRepeatedOnesOnce() {
    index.onEvents(ENGINE, events(1, 1, stored(1, 2), evicted(2)));
    index.onEvents(ENGINE, events(1, 2, evicted(2), stored(2)));

    assertThat(index.longestMatches(List.of(1L, 2L))).containsEntry(ENGINE, 32);
    assertThat(index.lastEvent(ENGINE)).isEqualTo(3);
  }

  @Test
  void aGapResetsWhatIsBelievedOfTheEngineOnly() {
    index.onEvents(ENGINE, events(1, 1, stored(1)));
    index.onEvents(OTHER, events(1, 1, stored(1)));

    index.onEvents(ENGINE, events(1, 5, stored(7)));

    assertThat(index.longestMatches(List.of(1L))).containsOnlyKeys(OTHER);
    assertThat(index.longestMatches(List.of(7L))).containsOnlyKeys(ENGINE);
    assertThat(index.lastEvent(ENGINE)).isEqualTo(5);
  }

  @Test
  void aNewIncarnationResets() {
    index.onEvents(ENGINE, events(1, 1, stored(1), stored(2)));
    index.onEvents(ENGINE, events(2, 1, stored(3)));

    assertThat(index.longestMatches(List.of(1L, 2L))).isEmpty();
    assertThat(index.longestMatches(List.of(3L))).containsOnlyKeys(ENGINE);
  }

  @Test
  void isBoundedForEachEngine() {
    index.expect(ENGINE, List.of(1L, 2L, 3L, 4L, 5L, 6L));

    assertThat(index.size()).isEqualTo(4);
    assertThat(index.longestMatches(List.of(1L))).isEmpty();
    assertThat(index.longestMatches(List.of(6L))).containsOnlyKeys(ENGINE);
  }

  private static CacheEvents events(long incarnation, long first, CacheEvent... events) {
    return new CacheEvents(incarnation, first, List.of(events));
  }

  private static CacheEvent stored(Integer... blocks) {
    return new CacheEvent(Kind.STORED, longs(blocks));
  }

  private static CacheEvent evicted(Integer... blocks) {
    return new CacheEvent(Kind.EVICTED, longs(blocks));
  }

  private static List<Long> longs(Integer... values) {
    return List.of(values).stream().map(Integer::longValue).toList();
  }
}
