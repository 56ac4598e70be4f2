package org.fallturn.rehearsal.experiment;

import java.util.SplittableRandom;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.placement.PlacementParameters;
import org.fallturn.core.placement.PlacementPolicy;
import org.fallturn.core.placement.PoolScheduler;
import org.fallturn.core.placement.ReportedLoadPlacement;
import org.fallturn.core.placement.ReportedLoadPlacement.Choice;
import org.fallturn.core.placement.ZonePoolsPlacement;
import org.fallturn.core.placement.ZonePoolsPlacement.Balance;

/** The placement policies that play against each other. */
enum PlacementContender {
  /** The scheduler that nodes run: one pool, exact counts, reports only correct them. */
  LEADER("leader, exact counts"),
  /** Power of two choices on lagging reports. */
  POWER_OF_TWO("power of two, reports"),
  /** Least loaded by lagging reports. */
  LEAST_LOADED("least loaded, reports"),
  /** By chance. */
  RANDOM("random"),
  /** A pool a zone, nothing moves between them. */
  ZONES_ALONE("zone pools, alone"),
  /** A pool a zone, requests are sent on by digests. */
  ZONES_PUSH("zone pools, push by digest"),
  /** A pool a zone, idle ones pull at random. */
  ZONES_PULL_RANDOM("zone pools, pull at random"),
  /** A pool a zone, idle ones pull by digests. */
  ZONES_PULL_INFORMED("zone pools, pull by digest");

  /** Twice the way between zones that are near each other, and the handling at both ends. */
  private static final long PULL_NANOS = 2_000_000;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double FIRST_ZONE_SHARE = 0.6;

  private final String title;

  PlacementContender(String title) {
    this.title = title;
  }

  String title() {
    return title;
  }

  /** Whether it looks at reports or digests at all; otherwise their age changes nothing. */
  boolean usesLoadInformation() {
    return this != RANDOM && this != ZONES_ALONE && this != ZONES_PULL_RANDOM;
  }

  /** Makes the policy of a pool; {@code lagMillis} is the age of reports and digests. */
  PlacementPolicy policy(PoolId pool, long lagMillis, long seed) {
    return switch (this) {
      case LEADER -> new PoolScheduler(pool, new Epoch(1), PlacementParameters.defaults(), 0);
      case POWER_OF_TWO -> reported(pool, Choice.POWER_OF_TWO, seed);
      case LEAST_LOADED -> reported(pool, Choice.LEAST_LOADED, seed);
      case RANDOM -> reported(pool, Choice.RANDOM, seed);
      case ZONES_ALONE -> zones(pool, Balance.NONE, lagMillis, seed);
      case ZONES_PUSH -> zones(pool, Balance.PUSH, lagMillis, seed);
      case ZONES_PULL_RANDOM -> zones(pool, Balance.PULL_RANDOM, lagMillis, seed);
      case ZONES_PULL_INFORMED -> zones(pool, Balance.PULL_INFORMED, lagMillis, seed);
    };
  }

  private static PlacementPolicy reported(PoolId pool, Choice choice, long seed) {
    return new ReportedLoadPlacement(pool, choice, new SplittableRandom(seed));
  }

  private static PlacementPolicy zones(PoolId pool, Balance balance, long lagMillis, long seed) {
    return new ZonePoolsPlacement(
        pool.model(),
        balance,
        PlacementParameters.defaults(),
        lagMillis * NANOS_PER_MILLI,
        PULL_NANOS,
        FIRST_ZONE_SHARE,
        new SplittableRandom(seed));
  }
}
