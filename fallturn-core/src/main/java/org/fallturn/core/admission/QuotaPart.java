package org.fallturn.core.admission;

/** One of the things a limit bounds. */
public enum QuotaPart {
  /** Requests a second. */
  REQUESTS_PER_SECOND("requests per second"),
  /** Tokens a second. */
  TOKENS_PER_SECOND("tokens per second"),
  /** Requests in progress. */
  CONCURRENT("concurrent requests"),
  /** Requests waiting for a placement. */
  QUEUED("queued requests");

  private final String text;

  QuotaPart(String text) {
    this.text = text;
  }

  /** Its name in messages to callers. */
  public String text() {
    return text;
  }
}
