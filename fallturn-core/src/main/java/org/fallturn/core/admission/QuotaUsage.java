package org.fallturn.core.admission;

/**
 * How much of a limit its owner has given out.
 *
 * @param key the limit
 * @param leased sum of the shares given out
 * @param asked sum of what the holders ask for, their reserve included
 * @param holders nodes that hold a share
 */
public record QuotaUsage(QuotaKey key, QuotaAmounts leased, QuotaAmounts asked, int holders) {

  /** Of a limit that nobody uses. */
  public static QuotaUsage none(QuotaKey key) {
    return new QuotaUsage(key, QuotaAmounts.NONE, QuotaAmounts.NONE, 0);
  }
}
