package org.fallturn.core.lease;

/**
 * What a pool wants of the weight store; carried in the lease's row so that every leader computes
 * the same shares.
 *
 * @param waiting engines that wait for a load or are loading
 * @param started loads started by the pool's present leadership
 */
public record LoadDemand(int waiting, long started) {

  /** No engine waits. */
  public static final LoadDemand NONE = new LoadDemand(0, 0);
}
