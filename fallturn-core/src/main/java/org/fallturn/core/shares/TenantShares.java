package org.fallturn.core.shares;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Which tenants have had more than their share of engines' time lately. It answers one tenant that
 * floods while what all ask no longer fits: its requests go behind those of the others, and it is
 * refused first.
 *
 * <p>Work is the time that it takes at engines. What was sent lately is what engines can do; it is
 * divided by weight among those that asked, and what one does not ask for goes to the others. So
 * while all that is asked is also sent, nobody is above a share, and idle room is anyone's.
 *
 * <p>Bounds: the number of tenants that are counted; of those beyond, nobody is above a share.
 * Pure; one thread calls.
 */
public final class TenantShares {

  private static final long NANOS_PER_BUCKET = 500_000_000L;

  /** Work of so many buckets counts: longer than a burst of requests, shorter than a flood. */
  private static final int BUCKETS = 10;

  /** More tenants than any fleet has at one node in some seconds. */
  private static final int MOST_TENANTS = 2_000;

  /** Of what is asked, so little may be unsent by chance while there is room. */
  private static final double FITS_PART = 0.97;

  private final ToDoubleFunction<String> weights;
  private final Map<String, Work> tenants = new HashMap<>();
  private long newestBucket = Long.MIN_VALUE;
  private double level = Double.POSITIVE_INFINITY;
  private boolean levelKnown;

  /** What a tenant asked, and what of that was sent. */
  private static final class Work {
    private final double[] asked = new double[BUCKETS];
    private final double[] sent = new double[BUCKETS];

    double asked() {
      return sum(asked);
    }

    double sent() {
      return sum(sent);
    }

    private static double sum(double[] buckets) {
      double sum = 0;
      for (double bucket : buckets) {
        sum += bucket;
      }
      return sum;
    }

    void clear(int place) {
      asked[place] = 0;
      sent[place] = 0;
    }
  }

  /**
   * Shares of which nothing is used.
   *
   * @param weights above zero, by the name of the tenant
   */
  public TenantShares(ToDoubleFunction<String> weights) {
    this.weights = weights;
  }

  /** A tenant asks for work that takes so many ms of an engine. */
  public void onAsked(String tenant, double millis, long nowNanos) {
    int place = moveTo(nowNanos);
    Work work = tenants.get(tenant);
    if (work == null && tenants.size() < MOST_TENANTS) {
      work = new Work();
      tenants.put(tenant, work);
    }
    if (work != null) {
      work.asked[place] += millis;
      levelKnown = false;
    }
  }

  /** Work that a tenant asked for is sent. */
  public void onSent(String tenant, double millis, long nowNanos) {
    int place = moveTo(nowNanos);
    Work work = tenants.get(tenant);
    if (work != null) {
      work.sent[place] += millis;
      levelKnown = false;
    }
  }

  /** Whether a tenant has had more than its share; nobody has while there is room for all. */
  public boolean aboveShare(String tenant, long nowNanos) {
    moveTo(nowNanos);
    Work work = tenants.get(tenant);
    if (work == null) {
      return false;
    }
    if (!levelKnown) {
      level = level();
      levelKnown = true;
    }
    return work.sent() > level * weights.applyAsDouble(tenant);
  }

  /** Work for a weight of one at which what was sent is divided among all that asked. */
  private double level() {
    record Claim(double weight, double asked) {
      double perWeight() {
        return asked / weight;
      }
    }
    List<Claim> claims = new ArrayList<>();
    double asked = 0;
    double left = 0;
    double weight = 0;
    for (Map.Entry<String, Work> tenant : tenants.entrySet()) {
      Claim claim = new Claim(weights.applyAsDouble(tenant.getKey()), tenant.getValue().asked());
      claims.add(claim);
      asked += claim.asked;
      weight += claim.weight;
      left += tenant.getValue().sent();
    }
    if (left >= FITS_PART * asked) {
      return Double.POSITIVE_INFINITY;
    }
    claims.sort(Comparator.comparingDouble(Claim::perWeight));
    for (Claim claim : claims) {
      if (claim.perWeight() * weight >= left) {
        break;
      }
      left -= claim.asked;
      weight -= claim.weight;
    }
    return left / weight;
  }

  private int moveTo(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, NANOS_PER_BUCKET);
    if (newestBucket == Long.MIN_VALUE) {
      newestBucket = bucket;
    }
    long passed = Math.min(bucket - newestBucket, BUCKETS);
    for (long step = 0; step < passed; step++) {
      int place = (int) Math.floorMod(bucket - step, (long) BUCKETS);
      tenants.values().forEach(work -> work.clear(place));
    }
    if (passed > 0) {
      tenants.values().removeIf(work -> work.asked() == 0 && work.sent() == 0);
      levelKnown = false;
    }
    newestBucket = Math.max(newestBucket, bucket);
    return (int) Math.floorMod(newestBucket, (long) BUCKETS);
  }
}
