package org.fallturn.core.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class UsageLedgerTest {

  private static final UsageWindows WINDOWS =
      new UsageWindows(Duration.ofSeconds(5), Duration.ofSeconds(10));
  private static final long NOW = 1_790_000_001_000L;
  private static final long WINDOW = WINDOWS.at(NOW);

  private static UsageCounts news(String node, long incarnation, int bakery) {
    return new UsageCounts(node, incarnation, Map.of(WINDOW, Map.of("bakery", bakery)));
  }

  @Test
  void processesOfOneNodeAddUpAndOldNewsOfOneDoNotCount() {
    UsageLedger ledger = new UsageLedger(WINDOWS);
    ledger.onPeerReport(news("a", 1, 4), NOW);
    ledger.onPeerReport(news("a", 1, 2), NOW);
    ledger.onPeerReport(news("a", 2, 1), NOW);
    ledger.count("b", 7, "mill", NOW);
    assertThat(ledger.total(WINDOW)).isEqualTo(Map.of("bakery", 5L, "mill", 1L));
    assertThat(ledger.ofProcess(WINDOW, "b", 7)).isEqualTo(Map.of("mill", 1));
  }

  @Test
  void windowsOfAWrongClockAreNeitherTakenNorKept() {
    UsageLedger ledger = new UsageLedger(WINDOWS);
    ledger.onPeerReport(new UsageCounts("a", 1, Map.of(WINDOW + 9, Map.of("bakery", 1))), NOW);
    assertThat(ledger.total(WINDOW + 9)).isEmpty();
    ledger.count("b", 1, "bakery", NOW);
    ledger.count("b", 1, "bakery", NOW + 60_000);
    assertThat(ledger.total(WINDOW)).isEmpty();
  }

  /** Sums as they grow, told in any order, twice or not at all but for the last. */
  @Property(tries = 200, seed = "20261203")
  void lostRepeatedAndLateNewsChangeNothing(@ForAll long seed) {
    Random random = new Random(seed);
    List<UsageCounts> told = new ArrayList<>();
    long expected = 0;
    for (int node = 0; node < 5; node++) {
      int last = 1 + random.nextInt(40);
      expected += last;
      for (int sum = 1; sum < last; sum++) {
        int copies = random.nextInt(3);
        told.addAll(Collections.nCopies(copies, news("node-" + node, 1, sum)));
      }
      told.add(news("node-" + node, 1, last));
    }
    Collections.shuffle(told, random);
    UsageLedger ledger = new UsageLedger(WINDOWS);
    told.forEach(one -> ledger.onPeerReport(one, NOW));
    assertThat(ledger.total(WINDOW)).isEqualTo(Map.of("bakery", expected));
  }
}
