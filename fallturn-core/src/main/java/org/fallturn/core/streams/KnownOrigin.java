package org.fallturn.core.streams;

/**
 * Where a stream began, and how that is known.
 *
 * @param origin where it began
 * @param evidence how that is known
 * @param evidenceAgeNanos time since the stream was reported, or since the reading began that
 *     confirmed the list of engines
 */
public record KnownOrigin(StreamOrigin origin, Evidence evidence, long evidenceAgeNanos) {

  /** How the origin of a stream is known. */
  public enum Evidence {
    /** The stream began or went on at this node, or another node reported it. */
    REPORTED,
    /** No stream of the service can have begun at another version. */
    SOLE_VERSION
  }
}
