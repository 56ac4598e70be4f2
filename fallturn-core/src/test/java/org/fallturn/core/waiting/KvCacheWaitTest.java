package org.fallturn.core.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class KvCacheWaitTest {

  private static final long CAPACITY = 100_000;

  @Test
  void nothingWaitsWhileItFits() {
    assertThat(KvCacheWait.waitMillis(0, 0, 8, 200_000, CAPACITY, 400)).isZero();
    assertThat(KvCacheWait.waitMillis(4, 60_000, 8, 30_000, CAPACITY, 400)).isZero();
  }

  @Test
  void waitsUntilAsMuchHasEndedAsIsTooMuch() {
    assertThat(KvCacheWait.waitMillis(4, 80_000, 8, 35_000, CAPACITY, 400)).isEqualTo(100);
    assertThat(KvCacheWait.waitMillis(4, 80_000, 8, 200_000, CAPACITY, 400)).isEqualTo(400);
  }

  @Test
  void requestsThatWaitForASlotHoldNothing() {
    assertThat(KvCacheWait.waitMillis(16, 120_000, 8, 30_000, CAPACITY, 400)).isZero();
  }
}
