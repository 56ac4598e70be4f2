package org.fallturn.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.fallturn.core.domain.NodeId;
import org.junit.jupiter.api.Test;

class LocalQuotaTest {

  private static final QuotaAmounts LIMIT = new QuotaAmounts(1000, 1e6, 12, 100);
  private static final QuotaParameters PARAMETERS =
      QuotaParameters.of(Duration.ofSeconds(10), Duration.ofMillis(200));
  private static final QuotaAmounts POOL = PARAMETERS.pool(LIMIT);
  private static final NodeId BUSY = new NodeId("busy");
  private static final NodeId OTHER = new NodeId("other");

  private final QuotaLedger ledger =
      new QuotaLedger(
          PARAMETERS.shareDuration().toNanos(), 2 * PARAMETERS.shareDuration().toNanos());
  private final LocalQuota quota = new LocalQuota(PARAMETERS, 0);
  private long nowNanos = 1;

  @Test
  void requestsInProgressStayHeldWhenTheShareIsLowered() {
    quota.setLimit(LIMIT, 3, nowNanos);
    ask(LIMIT);
    int running = admitAll();
    assertThat(running).isEqualTo((int) POOL.concurrent());

    QuotaAmounts othersWish = new QuotaAmounts(10, 100, 4, 4);
    ledger.grant(OTHER, QuotaAmounts.NONE, othersWish, POOL, nowNanos);
    ask(quota.takeWanted(nowNanos));
    ask(quota.takeWanted(nowNanos));
    QuotaAmounts others = ledger.grant(OTHER, QuotaAmounts.NONE, othersWish, POOL, nowNanos);

    assertThat(running + others.concurrent()).isLessThanOrEqualTo(POOL.concurrent());
  }

  @Test
  void requestsInProgressStayHeldWhenTheShareHasExpired() {
    quota.setLimit(LIMIT, 3, nowNanos);
    ask(LIMIT);
    int running = admitAll();

    nowNanos += PARAMETERS.shareDuration().toNanos();

    assertThat(quota.held(nowNanos).concurrent()).isEqualTo(running);
    assertThat(quota.blocking(1, nowNanos)).isNotNull();
  }

  private void ask(QuotaAmounts wanted) {
    nowNanos++;
    QuotaAmounts holding = quota.shrinkTo(wanted, nowNanos);
    QuotaAmounts share = ledger.grant(BUSY, holding, wanted, POOL, nowNanos);
    long until = nowNanos + PARAMETERS.shareDuration().toNanos();
    quota.setShare(share, false, until, nowNanos);
  }

  private int admitAll() {
    int admitted = 0;
    nowNanos += Duration.ofSeconds(1).toNanos();
    while (quota.blocking(1, nowNanos) == null) {
      quota.demand(1, nowNanos);
      quota.take(1);
      quota.placed();
      admitted++;
    }
    return admitted;
  }
}
