package org.fallturn.rehearsal.simulator;

import java.util.List;

/**
 * What a simulated fleet is like beside its workload. Immutable.
 *
 * @param observationMillis time between two looks of the role policy
 * @param statePollMillis how often the leader reads an engine's state
 * @param loadReportMillis time between two load reports of an engine
 * @param loadReportLagMillis how old a load report is when it comes
 * @param cacheEventLagMillis how old a cache event is when it comes
 * @param cacheEventLoss share of cache events that are lost
 * @param cachedPrefixes shared prefixes that an engine's cache holds
 * @param crashesPerEngineHour engine crashes, at random
 * @param restartSeconds time a crashed engine is away
 * @param storeOutages times in which no role change may be begun
 * @param drainSeconds time left after the workload's end for what is still running
 */
public record SimulationSettings(
    long observationMillis,
    long statePollMillis,
    long loadReportMillis,
    long loadReportLagMillis,
    long cacheEventLagMillis,
    double cacheEventLoss,
    int cachedPrefixes,
    double crashesPerEngineHour,
    double restartSeconds,
    List<Outage> storeOutages,
    double drainSeconds) {
  /** A fleet with the lags of the brief and without faults. */
  public static final SimulationSettings DEFAULT =
      new SimulationSettings(1000, 250, 500, 500, 300, 0.01, 64, 0, 20, List.of(), 20);

  /** A private copy of the outages. */
  public SimulationSettings {
    storeOutages = List.copyOf(storeOutages);
  }

  /** The same fleet whose load reports are this old. */
  public SimulationSettings withLoadReportLag(long lagMillis) {
    return new SimulationSettings(
        observationMillis,
        statePollMillis,
        loadReportMillis,
        lagMillis,
        cacheEventLagMillis,
        cacheEventLoss,
        cachedPrefixes,
        crashesPerEngineHour,
        restartSeconds,
        storeOutages,
        drainSeconds);
  }

  /** The same fleet with crashes and outages. */
  public SimulationSettings withFaults(double crashesPerEngineHour, List<Outage> outages) {
    return new SimulationSettings(
        observationMillis,
        statePollMillis,
        loadReportMillis,
        loadReportLagMillis,
        cacheEventLagMillis,
        cacheEventLoss,
        cachedPrefixes,
        crashesPerEngineHour,
        restartSeconds,
        outages,
        drainSeconds);
  }

  /**
   * A time without the platform's store.
   *
   * @param startSeconds when it begins
   * @param lengthSeconds how long it lasts
   */
  public record Outage(double startSeconds, double lengthSeconds) {
    boolean covers(double seconds) {
      return seconds >= startSeconds && seconds < startSeconds + lengthSeconds;
    }
  }
}
