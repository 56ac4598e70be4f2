package org.fallturn.core.pace;

/** What the other nodes tell of the pace of engines. */
@FunctionalInterface
public interface PeerWords {

  /** Nobody is heard. */
  PeerWords NOBODY = (engineId, nowNanos) -> PaceWord.NONE;

  /** What they said lately of an engine, as old as it is now. */
  PaceWord of(String engineId, long nowNanos);
}
