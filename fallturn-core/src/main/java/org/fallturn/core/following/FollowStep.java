package org.fallturn.core.following;

/**
 * What the follower of a table does next.
 *
 * @param nanos how long to listen or to watch, or to wait before asking
 * @param candidate whom of the askable nodes to ask; -1 for any
 */
public record FollowStep(Kind kind, long nanos, int candidate) {

  /** Where rows come from. */
  public enum Source {
    /** The platform's store. */
    STORE,
    /** Other nodes. */
    PEERS
  }

  /** The ways to learn of changes. */
  public enum Kind {
    /** Wait until another node tells of a change; costs no call. */
    LISTEN(Source.PEERS),
    /** Ask another node for what is newer. */
    ASK(Source.PEERS),
    /** Ask the store for what is newer, and wait for it. */
    WATCH(Source.STORE),
    /** Ask the store for the whole table. */
    READ_WHOLE(Source.STORE);

    private final Source source;

    Kind(Source source) {
      this.source = source;
    }

    /** Whom a step of this kind relies on. */
    public Source source() {
      return source;
    }
  }

  private static final int ANY = -1;

  static FollowStep listen(long nanos) {
    return new FollowStep(Kind.LISTEN, Math.max(0, nanos), ANY);
  }

  static FollowStep ask(int candidate, long afterNanos) {
    return new FollowStep(Kind.ASK, afterNanos, candidate);
  }

  static FollowStep askAny() {
    return new FollowStep(Kind.ASK, 0, ANY);
  }

  static FollowStep watch(long nanos) {
    return new FollowStep(Kind.WATCH, nanos, ANY);
  }

  static FollowStep readWhole() {
    return new FollowStep(Kind.READ_WHOLE, 0, ANY);
  }
}
