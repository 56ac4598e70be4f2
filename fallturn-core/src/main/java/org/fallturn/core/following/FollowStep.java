package org.fallturn.core.following;

/**
 * The next action of the thread that follows a table, as {@link FollowPlan} decides it.
 *
 * @param kind the action
 * @param nanos how long to listen or to watch, or to wait before asking
 * @param candidate index of the node to ask in {@link WatchOrder#askable()}; -1 for any node
 */
public record FollowStep(Kind kind, long nanos, int candidate) {

  /** Where the rows of a table come from. */
  public enum Source {
    /** The platform's store. */
    STORE,
    /** Other nodes. */
    PEERS
  }

  /** The ways to get the changes of a table. */
  public enum Kind {
    /** Wait until another node announces a change; costs no call. */
    LISTEN(Source.PEERS),
    /** Ask another node for newer rows. */
    ASK(Source.PEERS),
    /** Ask the store for newer rows and wait until there are some (a long poll). */
    WATCH(Source.STORE),
    /** Ask the store for the whole table. */
    READ_WHOLE(Source.STORE);

    private final Source source;

    Kind(Source source) {
      this.source = source;
    }

    /** Returns where a step of this kind gets changes from. */
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
