package org.fallturn.core.pace;

/** What the other nodes tell of the pace of engines. */
@FunctionalInterface
public interface PeerPaces {

  /** Nobody is heard. */
  PeerPaces NOBODY = (engineId, nowNanos) -> RecentPace.NONE;

  /** What they said lately of an engine, as old as it is now. */
  RecentPace of(String engineId, long nowNanos);
}
