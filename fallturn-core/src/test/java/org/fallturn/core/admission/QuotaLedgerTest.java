package org.fallturn.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fallturn.core.domain.NodeId;
import org.junit.jupiter.api.Test;

class QuotaLedgerTest {

  private static final QuotaAmounts POOL = new QuotaAmounts(100, 1000, 10, 10);
  private static final NodeId FIRST = new NodeId("first");
  private static final NodeId SECOND = new NodeId("second");

  private final QuotaLedger ledger = new QuotaLedger(100, 200);

  @Property(tries = 300, seed = "20261203")
  void sharesInForceNeverPassThePool(
      @ForAll @Size(max = 60) List<@IntRange(max = 3999) Integer> steps) {
    QuotaLedger book = new QuotaLedger(100, 200);
    Map<NodeId, QuotaAmounts> held = new HashMap<>();
    long now = 0;
    for (int step : steps) {
      NodeId holder = new NodeId("node-" + step % 4);
      QuotaAmounts wanted = wish(step / 4 % 100);
      QuotaAmounts holding = held.getOrDefault(holder, QuotaAmounts.NONE).min(wanted);
      QuotaAmounts share = book.grant(holder, holding, wanted, POOL, now);
      boolean answerLost = step % 7 == 0;
      held.put(holder, answerLost ? holding : share);
      now += 1;
      QuotaAmounts sum = held.values().stream().reduce(QuotaAmounts.NONE, QuotaAmounts::plus);
      assertThat(sum.requests()).isLessThanOrEqualTo(POOL.requests() + 1e-6);
      assertThat(sum.concurrent()).isLessThanOrEqualTo(POOL.concurrent());
    }
  }

  @Test
  void expiredShareIsNotFreeBeforeItsHolderConfirms() {
    QuotaAmounts all = ledger.grant(FIRST, QuotaAmounts.NONE, wish(100), POOL, 0);
    assertThat(all.requests()).isEqualTo(100);
    assertThat(ledger.grant(SECOND, QuotaAmounts.NONE, wish(100), POOL, 150).requests()).isZero();
    assertThat(ledger.unconfirmed(150)).containsExactly(FIRST);
    ledger.confirm(FIRST, QuotaAmounts.NONE, 150);
    assertThat(ledger.grant(SECOND, QuotaAmounts.NONE, wish(100), POOL, 151).requests())
        .isEqualTo(100);
  }

  @Test
  void unreachableHolderIsWaitedOut() {
    ledger.grant(FIRST, QuotaAmounts.NONE, wish(100), POOL, 0);
    assertThat(ledger.grant(SECOND, QuotaAmounts.NONE, wish(100), POOL, 301).requests())
        .isEqualTo(100);
  }

  @Test
  void largeRequestLeavesADebt() {
    TokenBucket bucket = new TokenBucket(1, 0);
    bucket.fill(10, 0);
    assertThat(bucket.has(50, 10)).isTrue();
    bucket.take(50);
    bucket.fill(10, Duration.ofSeconds(4).toNanos());
    assertThat(bucket.has(1, 10)).isFalse();
    bucket.fill(10, Duration.ofSeconds(5).toNanos());
    assertThat(bucket.has(1, 10)).isTrue();
  }

  private static QuotaAmounts wish(double part) {
    return new QuotaAmounts(part, part * 10, Math.floor(part / 10), Math.floor(part / 10));
  }
}
