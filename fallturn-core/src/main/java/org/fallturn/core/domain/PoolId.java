package org.fallturn.core.domain;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a pool: the engines of one model in one zone, split into shards past a bound on engines.
 * Its text form is {@code zone/model/shard}.
 *
 * @param zone the zone all engines of the pool are in
 * @param model the model all engines of the pool serve
 * @param shard zero-based index of the split; zero for a pool that is not split
 */
public record PoolId(ZoneName zone, ModelName model, int shard) implements Comparable<PoolId> {

  private static final int PARTS = 3;

  /** Rejects a negative shard. */
  public PoolId {
    if (zone == null || model == null || shard < 0) {
      throw new IllegalArgumentException("pool id needs a zone, a model and a shard of 0 or more");
    }
  }

  /** Reads the text form written by {@link #toString()}. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public static PoolId parse(String text) {
    String[] parts = text.split("/", -1);
    if (parts.length != PARTS) {
      throw new IllegalArgumentException("pool id must be zone/model/shard, but is: " + text);
    }
    return new PoolId(new ZoneName(parts[0]), new ModelName(parts[1]), Integer.parseInt(parts[2]));
  }

  @Override
  public int compareTo(PoolId other) {
    return toString().compareTo(other.toString());
  }

  @Override
  @JsonValue
  public String toString() {
    return zone.value() + "/" + model.value() + "/" + shard;
  }
}
