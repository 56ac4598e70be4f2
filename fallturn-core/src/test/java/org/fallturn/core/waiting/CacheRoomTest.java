package org.fallturn.core.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CacheRoomTest {

  private static final long CAPACITY = 100_000;

  @Test
  void nothingWaitsWhileItFits() {
    assertThat(CacheRoom.waitMillis(0, 0, 8, 200_000, CAPACITY, 400)).isZero();
    assertThat(CacheRoom.waitMillis(4, 60_000, 8, 30_000, CAPACITY, 400)).isZero();
  }

  @Test
  void waitsUntilAsMuchHasEndedAsIsTooMuch() {
    assertThat(CacheRoom.waitMillis(4, 80_000, 8, 35_000, CAPACITY, 400)).isEqualTo(100);
    assertThat(CacheRoom.waitMillis(4, 80_000, 8, 200_000, CAPACITY, 400)).isEqualTo(400);
  }

  @Test
  void requestsThatWaitForASlotHoldNothing() {
    assertThat(CacheRoom.waitMillis(16, 120_000, 8, 30_000, CAPACITY, 400)).isZero();
  }
}
