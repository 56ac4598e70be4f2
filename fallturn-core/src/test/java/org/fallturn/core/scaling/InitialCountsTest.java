package org.fallturn.core.scaling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.port.feed.StoreEra;
import org.fallturn.core.port.table.StoreException;
import org.junit.jupiter.api.Test;

/**
 * Guards against engines that are given up by mistake. Orders go by how many engines there were
 * before any order. The store is restored from a copy that lacks this row, and another node takes
 * the engines that the orders have left for those of the beginning.
 */
class InitialCountsTest {

  private static final Map<String, Integer> BEFORE = Map.of("a", 12, "b", 12);
  private static final Map<String, Integer> AFTER_ORDERS = Map.of("a", 2, "b", 2);
  private static final StoreEra FIRST = new StoreEra(1, StoreEra.LONG_AGO);
  private static final StoreEra RESTORED = new StoreEra(2, Duration.ofSeconds(20));

  private Optional<Map<String, Integer>> row = Optional.empty();
  private long era = FIRST.number();

  private final InitialCounts counts =
      new InitialCounts(
          new InitialCountsStore() {
            @Override
            public InitialCountsReading read(String service) {
              return new InitialCountsReading(row, era);
            }

            @Override
            public boolean write(String service, Map<String, Integer> written) {
              if (row.isPresent()) {
                return false;
              }
              row = Optional.of(written);
              return true;
            }
          });

  private Optional<Map<String, Integer>> agree(
      Map<String, Integer> proposed, boolean known, StoreEra present) throws StoreException {
    return counts.agree(new ScaleAction.RecordInitialCounts("llm", proposed, known), present);
  }

  private void loseRow() {
    row = Optional.empty();
    era = RESTORED.number();
  }

  @Test
  void countsOfTheFirstNodeStand() throws StoreException {
    assertThat(agree(BEFORE, false, FIRST)).contains(BEFORE);
    assertThat(agree(AFTER_ORDERS, false, FIRST)).contains(BEFORE);
  }

  @Test
  void countsObservedAfterTheRestoreAreNotRecorded() throws StoreException {
    agree(BEFORE, false, FIRST);
    loseRow();
    assertThat(agree(AFTER_ORDERS, false, RESTORED)).isEmpty();
    assertThat(row).isEmpty();
  }

  @Test
  void nodeThatKnowsTheCountsRecordsThemAgainForAll() throws StoreException {
    agree(BEFORE, false, FIRST);
    loseRow();
    assertThat(agree(BEFORE, true, RESTORED)).contains(BEFORE);
    assertThat(agree(AFTER_ORDERS, false, RESTORED)).contains(BEFORE);
  }

  @Test
  void answerOfAnotherEraIsNotUsed() {
    era = RESTORED.number();
    assertThatThrownBy(() -> agree(BEFORE, false, FIRST)).isInstanceOf(StoreException.class);
  }
}
