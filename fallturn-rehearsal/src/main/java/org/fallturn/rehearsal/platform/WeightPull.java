package org.fallturn.rehearsal.platform;

/**
 * Asks the weight store for the next part of some weights, {@code POST /v1/weights/pull}. Only
 * sizes travel; the bytes themselves are not needed to rehearse.
 *
 * @param name model or adapter
 * @param version its version
 * @param offset bytes the engine has already
 */
public record WeightPull(String name, String version, long offset) {

  /**
   * What the rate limit grants now.
   *
   * @param granted bytes of this part; 0 means try again later
   * @param total size of the whole
   */
  public record Answer(long granted, long total) {}
}
