package org.fallturn.core.pace;

/** Source of the recent pace samples that the other nodes report. */
@FunctionalInterface
public interface PeerPaces {

  /** Source without any samples. */
  PeerPaces NONE = (engineId, nowNanos) -> RecentPace.NONE;

  /** Returns the other nodes' recent samples of an engine, decayed to the given time. */
  RecentPace of(String engineId, long nowNanos);
}
