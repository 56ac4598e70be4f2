package org.fallturn.core.query;

/** SQL's three-valued logic: a comparison with NULL is neither true nor false. */
public enum Truth {
  /** It holds. */
  TRUE,
  /** It does not hold. */
  FALSE,
  /** It cannot be told, because of a NULL. */
  UNKNOWN;

  /** The value of a plain condition. */
  public static Truth of(boolean holds) {
    return holds ? TRUE : FALSE;
  }

  /** Negation; unknown stays unknown. */
  public Truth not() {
    return switch (this) {
      case TRUE -> FALSE;
      case FALSE -> TRUE;
      default -> UNKNOWN;
    };
  }

  /** Conjunction. */
  public Truth and(Truth other) {
    if (this == FALSE || other == FALSE) {
      return FALSE;
    }
    return this == TRUE && other == TRUE ? TRUE : UNKNOWN;
  }

  /** Disjunction. */
  public Truth or(Truth other) {
    return not().and(other.not()).not();
  }
}
