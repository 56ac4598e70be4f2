package org.fallturn.core.dispatch;

/**
 * What a placement was decided from, for logs.
 *
 * @param millis expected time to the first token; 0 for an application request
 * @param readTokens prompt tokens that the engine has to read
 * @param aheadTokens prompt tokens that wait at the engine before
 * @param pacePercent how long reading takes there, 100 as usual
 */
public record PlacementEstimate(double millis, int readTokens, long aheadTokens, int pacePercent) {

  /** Nothing is expected of an application request. */
  public static final PlacementEstimate NONE = new PlacementEstimate(0, 0, 0, 100);
}
