package org.fallturn.rehearsal.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.CacheEvents.CacheEvent.Kind;
import org.fallturn.core.port.engine.LoadReport;
import org.junit.jupiter.api.Test;

class PublishedNewsTest {

  @Test
  void cacheEventsComeLate() {
    CacheEventLog log = new CacheEventLog(100, 0, new SplittableRandom(1));
    log.append(Kind.STORED, List.of(1L), 0);
    log.append(Kind.EVICTED, List.of(1L), 50);
    assertThat(log.after(0, 1, 100).events()).hasSize(1);
    assertThat(log.after(1, 1, 150).first()).isEqualTo(2);
  }

  @Test
  void lossShowsAsAGap() {
    CacheEventLog log = new CacheEventLog(0, 1, new SplittableRandom(1));
    log.append(Kind.STORED, List.of(1L), 0);
    CacheEventLog whole = new CacheEventLog(0, 3, new SplittableRandom(7));
    for (long block = 0; block < 50; block++) {
      whole.append(Kind.STORED, List.of(block), 0);
    }
    assertThat(log.after(0, 1, 0).events()).isEmpty();
    CacheEvents rest = whole.after(0, 1, 0);
    assertThat(rest.first()).isGreaterThan(1);
    assertThat(rest.events().get(0).blocks()).containsExactly(rest.first() - 1);
  }

  @Test
  void evictionFollowsUse() {
    PrefixCache cache = new PrefixCache(2);
    cache.store(List.of(1L, 2L));
    cache.match(List.of(1L));
    assertThat(cache.store(List.of(3L)).evicted()).containsExactly(2L);
    assertThat(cache.match(List.of(1L, 2L, 3L))).isOne();
  }

  @Test
  void loadReportSaysHowOldItIs() {
    LoadReportLog log = new LoadReportLog(1_000_000);
    log.add(report(1), 0);
    log.add(report(2), 5_000_000);
    assertThat(log.seenAt(5_500_000).runningRequests()).isOne();
    assertThat(log.seenAt(7_000_000))
        .satisfies(
            seen -> {
              assertThat(seen.runningRequests()).isEqualTo(2);
              assertThat(seen.ageMillis()).isEqualTo(2);
            });
  }

  private static LoadReport report(int running) {
    return new LoadReport(new EngineId("e"), 1, 0, running, 0, 0, 0, 0, 0);
  }
}
