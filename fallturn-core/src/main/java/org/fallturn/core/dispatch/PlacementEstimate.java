package org.fallturn.core.dispatch;

/**
 * The figures that a placement was based on, for logs.
 *
 * @param millis expected time to the first token, in ms; 0 for an application request
 * @param readTokens prompt tokens that the engine has to read
 * @param aheadTokens prompt tokens that the engine reads before them
 * @param pacePercent time that the engine takes to read, as a percentage of the usual time
 */
public record PlacementEstimate(double millis, int readTokens, long aheadTokens, int pacePercent) {

  /** For an application request, for which nothing is estimated. */
  public static final PlacementEstimate NONE = new PlacementEstimate(0, 0, 0, 100);
}
