package org.fallturn.core.scaling;

import java.util.Map;
import java.util.Optional;
import org.fallturn.core.port.feed.StoreEra;
import org.fallturn.core.port.table.StoreException;

/**
 * Records how many engines each service had before any order, once for all nodes.
 *
 * <p>Invariant: counts that were observed after an order are never recorded. A store that was
 * restored from a copy may have lost the counts, and orders may have followed them. So observed
 * counts are recorded only in an era before which nothing was written; in a later one only a node
 * that had read them records them again. One thread calls.
 */
public final class InitialCounts {

  private final InitialCountsStore store;

  /** Uses a store. */
  public InitialCounts(InitialCountsStore store) {
    this.store = store;
  }

  /**
   * Returns the counts of a service, and records the proposed ones if there are none.
   *
   * @param era present era of the store
   * @return number of engines by zone; empty when the counts may have been lost
   * @throws StoreException when no usable answer came; the counts may have been recorded
   */
  public Optional<Map<String, Integer>> agree(
      ScaleAction.RecordInitialCounts proposed, StoreEra era) throws StoreException {
    Optional<Map<String, Integer>> before = read(proposed.service(), era);
    boolean mayRecord = proposed.known() || era.holdsWritesOf(StoreEra.LONG_AGO);
    if (before.isPresent() || !mayRecord) {
      return before;
    }
    return store.write(proposed.service(), proposed.counts())
        ? Optional.of(proposed.counts())
        : read(proposed.service(), era);
  }

  private Optional<Map<String, Integer>> read(String service, StoreEra era) throws StoreException {
    InitialCountsReading reading = store.read(service);
    if (reading.era() != era.number()) {
      throw new StoreException("the store was restored meanwhile", false, null);
    }
    return reading.counts();
  }
}
