package org.fallturn.rehearsal.engine;

import java.util.Optional;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;

/**
 * Settings of an engine stand-in.
 *
 * @param engine its name
 * @param listen where it listens; port 0 takes any free one
 * @param role role after a start
 * @param model model loaded after a start
 * @param modelVersion version loaded after a start
 * @param platform where weights are pulled from; without it a load takes a fixed time
 * @param costs what work costs
 * @param timeScale how much faster than the costs say everything runs
 * @param tokensPerChunk most tokens held back to be sent in one chunk; the first goes out at once
 * @param cacheBlocks blocks the prefix cache holds
 * @param maxWaiting requests that may wait; more are refused as FULL
 * @param reports lag and loss of what it publishes of itself
 * @param haltOnCrash whether a crash ends the whole process instead of this stand-in alone
 */
public record EngineSettings(
    EngineId engine,
    NetworkAddress listen,
    EngineRole role,
    ModelName model,
    String modelVersion,
    Optional<NetworkAddress> platform,
    EngineCosts costs,
    double timeScale,
    int tokensPerChunk,
    int cacheBlocks,
    int maxWaiting,
    Reports reports,
    boolean haltOnCrash) {

  private static final double DEFAULT_TIME_SCALE = 20;
  private static final int DEFAULT_CACHE_BLOCKS = 4096;
  private static final int DEFAULT_MAX_WAITING = 512;

  /**
   * How late and how lossy an engine's news are.
   *
   * @param loadLagMillis age of a load report when it is given out
   * @param cacheEventLagMillis age at which a cache event is given out
   * @param cacheEventLossOneIn on average one cache event in so many loses all kept ones; 0 never
   */
  public record Reports(long loadLagMillis, long cacheEventLagMillis, int cacheEventLossOneIn) {

    /** Loads 200 ms old, cache events 100 ms old, one loss in 1000 events. */
    public static final Reports DEFAULT = new Reports(200, 100, 1000);
  }

  /** An engine of default size, twenty times as fast as a real one, without a platform. */
  public static EngineSettings defaults(String engine, EngineRole role, String model) {
    return new EngineSettings(
        new EngineId(engine),
        new NetworkAddress("127.0.0.1", 0),
        role,
        new ModelName(model),
        "v1",
        Optional.empty(),
        EngineCosts.DEFAULT,
        DEFAULT_TIME_SCALE,
        1,
        DEFAULT_CACHE_BLOCKS,
        DEFAULT_MAX_WAITING,
        Reports.DEFAULT,
        false);
  }

  /** The same with another address. */
  public EngineSettings withListen(NetworkAddress address) {
    return new EngineSettings(
        engine,
        address,
        role,
        model,
        modelVersion,
        platform,
        costs,
        timeScale,
        tokensPerChunk,
        cacheBlocks,
        maxWaiting,
        reports,
        haltOnCrash);
  }

  /** The same with a platform to pull weights from. */
  public EngineSettings withPlatform(NetworkAddress address) {
    return new EngineSettings(
        engine,
        listen,
        role,
        model,
        modelVersion,
        Optional.of(address),
        costs,
        timeScale,
        tokensPerChunk,
        cacheBlocks,
        maxWaiting,
        reports,
        haltOnCrash);
  }

  /** The same with other costs and another time scale. */
  public EngineSettings withCosts(EngineCosts otherCosts, double otherTimeScale) {
    return new EngineSettings(
        engine,
        listen,
        role,
        model,
        modelVersion,
        platform,
        otherCosts,
        otherTimeScale,
        tokensPerChunk,
        cacheBlocks,
        maxWaiting,
        reports,
        haltOnCrash);
  }

  /** The same with larger chunks. */
  public EngineSettings withTokensPerChunk(int tokens) {
    return new EngineSettings(
        engine,
        listen,
        role,
        model,
        modelVersion,
        platform,
        costs,
        timeScale,
        tokens,
        cacheBlocks,
        maxWaiting,
        reports,
        haltOnCrash);
  }

  /** The same with another cache and queue. */
  public EngineSettings withBounds(int otherCacheBlocks, int otherMaxWaiting) {
    return new EngineSettings(
        engine,
        listen,
        role,
        model,
        modelVersion,
        platform,
        costs,
        timeScale,
        tokensPerChunk,
        otherCacheBlocks,
        otherMaxWaiting,
        reports,
        haltOnCrash);
  }

  /** The same with other lags. */
  public EngineSettings withReports(Reports otherReports) {
    return new EngineSettings(
        engine,
        listen,
        role,
        model,
        modelVersion,
        platform,
        costs,
        timeScale,
        tokensPerChunk,
        cacheBlocks,
        maxWaiting,
        otherReports,
        haltOnCrash);
  }

  /** Real time that a modelled time takes on this engine. */
  public long realNanos(long modelNanos) {
    return Math.round(modelNanos / timeScale);
  }
}
