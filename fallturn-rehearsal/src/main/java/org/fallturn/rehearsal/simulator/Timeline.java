package org.fallturn.rehearsal.simulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Counts over time for plots, in bins of equal length. Not thread-safe. */
public final class Timeline {
  /** Length of one bin. */
  public static final int BIN_SECONDS = 5;

  private static final double NANOS_PER_SECOND = 1e9;

  private final int[] offered;
  private final int[] inTime;
  private final double[] prefillEngines;

  Timeline(double durationSeconds) {
    int bins = (int) Math.ceil(durationSeconds / BIN_SECONDS);
    offered = new int[bins];
    inTime = new int[bins];
    prefillEngines = new double[bins];
  }

  void offered(long arrivalNanos, boolean wasInTime) {
    int bin = bin(arrivalNanos);
    offered[bin]++;
    inTime[bin] += wasInTime ? 1 : 0;
  }

  void prefillEngines(long nowNanos, int engines) {
    prefillEngines[bin(nowNanos)] = engines;
  }

  private int bin(long nanos) {
    int bin = (int) (nanos / NANOS_PER_SECOND / BIN_SECONDS);
    return Math.min(bin, offered.length - 1);
  }

  /** Middle of each bin in seconds. */
  public List<Double> seconds() {
    List<Double> seconds = new ArrayList<>();
    for (int bin = 0; bin < offered.length; bin++) {
      seconds.add((bin + 0.5) * BIN_SECONDS);
    }
    return seconds;
  }

  /** Share of the requests that arrived in each bin which were answered in time, in per cent. */
  public List<Double> goodputPercent() {
    List<Double> shares = new ArrayList<>();
    for (int bin = 0; bin < offered.length; bin++) {
      shares.add(offered[bin] == 0 ? 100.0 : 100.0 * inTime[bin] / offered[bin]);
    }
    return shares;
  }

  /** Prefill engines at the end of each bin. */
  public List<Double> prefillEngines() {
    return Arrays.stream(prefillEngines).boxed().toList();
  }
}
