package org.fallturn.core.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.fallturn.core.port.feed.StorePosition;
import org.junit.jupiter.api.Test;

/**
 * Guards against nodes that compare versions of two eras of the store: after the store was restored
 * from a copy, an announced version of before would hide every change until the store's counter has
 * passed it, and an old confirmation would keep nodes from asking the store.
 */
class TableVersionsTest {

  private static final String TABLE = "engines";

  private final TableVersions tables = new TableVersions("edge-1");

  private static KnownVersions report(long era, long version) {
    return new KnownVersions(era, Map.of(TABLE, version));
  }

  @Test
  void laterEraReplacesAllThatWasKnown() {
    tables.onPeerReport(report(1, 500), 0);
    tables.onPeerReport(new KnownVersions(1, Map.of(TABLE + "@", 900L << 10)), 0);
    assertThat(tables.sinceConfirmedByOthers(TABLE, 5)).isEqualTo(5);
    assertThat(tables.onPeerReport(report(2, 430), 10)).isTrue();
    assertThat(tables.newest(TABLE)).isEqualTo(new StorePosition(2, 430));
    assertThat(tables.sinceConfirmedByOthers(TABLE, 20)).isEqualTo(Long.MAX_VALUE);
    assertThat(tables.all()).isEqualTo(report(2, 430));
  }

  @Test
  void nodeThatReadsARestoredStoreTellsTheOthers() {
    tables.onSeen(TABLE, new StorePosition(1, 500));
    tables.takeUnsent();
    tables.onSeen(TABLE, new StorePosition(2, 0));
    assertThat(tables.takeUnsent()).isTrue();
    assertThat(tables.newest(TABLE)).isEqualTo(new StorePosition(2, 0));
  }

  @Test
  void earlierEraIsIgnored() {
    tables.onPeerReport(report(2, 430), 0);
    assertThat(tables.onPeerReport(report(1, 900), 1)).isFalse();
    tables.onSeen(TABLE, new StorePosition(1, 900));
    tables.onConfirmed(TABLE, new StorePosition(1, 900), 7);
    assertThat(tables.all()).isEqualTo(report(2, 430));
  }

  /** A node of the build before announces versions without saying of which era. */
  @Test
  void reportWithoutAnEraCountsOnlyWhileNoneIsKnown() {
    assertThat(tables.onPeerReport(report(0, 500), 0)).isTrue();
    tables.onSeen(TABLE, new StorePosition(1, 501));
    assertThat(tables.onPeerReport(report(0, 900), 1)).isFalse();
    assertThat(tables.newest(TABLE)).isEqualTo(new StorePosition(1, 501));
  }
}
