package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A table with compare-and-set as seen through a faulty network: requests and answers get lost or
 * late, and the whole table can be down. Neither is doubled, because each call has a connection of
 * its own. Every call is answered exactly once, at the latest by the client's timeout; its request
 * may take effect even after that.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
final class SimulatedTable<K, V> {

  static final String NAME = "table";
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final Simulation simulation;
  private final Map<K, Row<V>> rows = new HashMap<>();
  private boolean down;

  SimulatedTable(Simulation simulation) {
    this.simulation = simulation;
  }

  /** A row; version 0 and no value when it is absent. */
  record Row<V>(long version, V value) {}

  /** A conditional write. */
  record Write<K, V>(K key, long expectedVersion, V value) {}

  /** What the client learns of a call. */
  enum Result {
    DONE,
    CONFLICT,
    NO_EFFECT,
    UNKNOWN
  }

  /** Answer to a call; rows as read, or as in conflict. */
  record Answer<K, V>(Result result, Map<K, Row<V>> rows) {}

  void down(boolean isDown) {
    down = isDown;
  }

  Row<V> row(K key) {
    return rows.getOrDefault(key, new Row<>(0, null));
  }

  void read(String client, List<K> keys, Consumer<Answer<K, V>> answer) {
    call(client, table -> new Answer<>(Result.DONE, table.rowsOf(keys)), answer);
  }

  void write(String client, List<Write<K, V>> writes, Consumer<Answer<K, V>> answer) {
    call(client, table -> table.apply(writes), answer);
  }

  private Map<K, Row<V>> rowsOf(List<K> keys) {
    Map<K, Row<V>> found = new HashMap<>();
    keys.forEach(key -> found.put(key, row(key)));
    return found;
  }

  private Answer<K, V> apply(List<Write<K, V>> writes) {
    Map<K, Row<V>> conflicts = new HashMap<>();
    for (Write<K, V> write : writes) {
      if (row(write.key()).version() != write.expectedVersion()) {
        conflicts.put(write.key(), row(write.key()));
      }
    }
    if (!conflicts.isEmpty()) {
      return new Answer<>(Result.CONFLICT, conflicts);
    }
    for (Write<K, V> write : writes) {
      rows.put(write.key(), new Row<>(write.expectedVersion() + 1, write.value()));
    }
    return new Answer<>(Result.DONE, Map.of());
  }

  private void call(
      String client,
      Function<SimulatedTable<K, V>, Answer<K, V>> operation,
      Consumer<Answer<K, V>> receiver) {
    Once<Answer<K, V>> once = new Once<>(receiver);
    simulation.sendOnce(
        client,
        NAME,
        () -> {
          Answer<K, V> answer =
              down ? new Answer<>(Result.NO_EFFECT, Map.of()) : operation.apply(this);
          simulation.sendOnce(NAME, client, () -> once.accept(answer));
        });
    simulation.after(TIMEOUT.toNanos(), () -> once.accept(new Answer<>(Result.UNKNOWN, Map.of())));
  }

  /** Passes the first answer on and drops the others. */
  private static final class Once<T> implements Consumer<T> {
    private final Consumer<T> receiver;
    private boolean done;

    Once(Consumer<T> receiver) {
      this.receiver = receiver;
    }

    @Override
    public void accept(T value) {
      if (!done) {
        done = true;
        receiver.accept(value);
      }
    }
  }
}
