package org.fallturn.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class LocalQuotaTest {

  private static final QuotaAmounts LIMIT = new QuotaAmounts(100, 1000, 12, 12);
  private static final long LATER = Duration.ofSeconds(30).toNanos();

  private final LocalQuota quota =
      new LocalQuota(QuotaParameters.of(Duration.ofSeconds(10), Duration.ofSeconds(1)), 0);

  @Test
  void requestsInProgressStayHeldWhenTheShareShrinksOrExpires() {
    quota.setLimit(LIMIT, 3, 0);
    quota.setShare(new QuotaAmounts(100, 1000, 11, 11), false, LATER, 0);
    for (int index = 0; index < 11; index++) {
      quota.take(1);
      quota.placed();
    }
    quota.setShare(new QuotaAmounts(30, 300, 3, 3), false, LATER, 1);
    QuotaAmounts wish = quota.takeWanted(2);
    assertThat(quota.shrinkTo(wish, 2).concurrent()).isEqualTo(11);
    assertThat(quota.held(LATER + 1).concurrent()).isEqualTo(11);
    for (int index = 0; index < 11; index++) {
      quota.finished(0);
    }
    assertThat(quota.held(LATER + 2)).isEqualTo(QuotaAmounts.NONE);
  }

  @Test
  void shareInUseBlocksUntilEnoughRequestsEnd() {
    quota.setLimit(LIMIT, 3, 0);
    quota.setShare(new QuotaAmounts(100, 1000, 2, 11), false, LATER, 0);
    quota.take(1);
    quota.take(1);
    assertThat(quota.blocking(1, 1)).isEqualTo(QuotaPart.CONCURRENT);
    quota.placed();
    quota.finished(0);
    assertThat(quota.blocking(1, 1)).isNull();
  }
}
