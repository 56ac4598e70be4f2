package org.fallturn.core.admission;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.function.DoubleBinaryOperator;

/**
 * An amount of each limited thing: a whole limit, or a share of one. Immutable.
 *
 * @param requests requests a second
 * @param tokens tokens a second
 * @param concurrent requests in progress, a whole number
 * @param queued requests without a placement, a whole number
 */
public record QuotaAmounts(
    @JsonProperty("r") double requests,
    @JsonProperty("t") double tokens,
    @JsonProperty("c") double concurrent,
    @JsonProperty("q") double queued) {

  /** Nothing of anything. */
  public static final QuotaAmounts NONE = new QuotaAmounts(0, 0, 0, 0);

  /** The sum of two amounts. */
  public QuotaAmounts plus(QuotaAmounts other) {
    return combine(other, Double::sum);
  }

  /** What is left after taking some away, never below zero. */
  public QuotaAmounts minus(QuotaAmounts other) {
    return combine(other, (left, right) -> Math.max(0, left - right));
  }

  /** The smaller one of each. */
  public QuotaAmounts min(QuotaAmounts other) {
    return combine(other, Math::min);
  }

  /** The larger one of each. */
  public QuotaAmounts max(QuotaAmounts other) {
    return combine(other, Math::max);
  }

  /** A fraction of each; whole numbers are rounded down. */
  public QuotaAmounts fraction(double part) {
    return new QuotaAmounts(
        requests * part, tokens * part, Math.floor(concurrent * part), Math.floor(queued * part));
  }

  /** Whether nothing is above the other's amounts. */
  public boolean isWithin(QuotaAmounts other) {
    return requests <= other.requests
        && tokens <= other.tokens
        && concurrent <= other.concurrent
        && queued <= other.queued;
  }

  /** Combines each pair of parts. */
  public QuotaAmounts combine(QuotaAmounts other, DoubleBinaryOperator operator) {
    return new QuotaAmounts(
        operator.applyAsDouble(requests, other.requests),
        operator.applyAsDouble(tokens, other.tokens),
        operator.applyAsDouble(concurrent, other.concurrent),
        operator.applyAsDouble(queued, other.queued));
  }
}
