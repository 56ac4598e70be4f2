package org.fallturn.rehearsal.workload;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.AhrensDieterMarsagliaTsangGammaSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.fallturn.core.domain.ModelName;

/** Arrivals of one traffic class, thinned from its highest rate. Not thread-safe. */
final class ClassArrivals {
  private final TrafficClass traffic;
  private final List<ModelName> models;
  private final MixCurve curve;
  private final double fromRate;
  private final double toRate;
  private final double highestRate;
  private final UniformRandomProvider random;
  private final SharedStateContinuousSampler gap;
  private final double[] prefixCumulative;
  private double nextSeconds;

  ClassArrivals(
      TrafficClass traffic,
      List<ModelName> models,
      MixCurve curve,
      double fromRate,
      double toRate,
      UniformRandomProvider random) {
    this.traffic = traffic;
    this.models = models;
    this.curve = curve;
    this.fromRate = fromRate;
    this.toRate = toRate;
    this.random = random;
    highestRate = Math.max(fromRate, toRate);
    double shape = 1 / (traffic.arrivalVariation() * traffic.arrivalVariation());
    gap = AhrensDieterMarsagliaTsangGammaSampler.of(random, shape, 1 / (shape * highestRate));
    prefixCumulative = cumulativePopularity(Math.max(1, traffic.sharedPrefixes()));
    advance();
  }

  /** When the next candidate arrives. */
  double nextSeconds() {
    return nextSeconds;
  }

  /** The next candidate, or nothing when the present rate skips it; moves on to the one after. */
  Optional<TimedRequest> take(long index, long arrivalNanos) {
    double rate = fromRate + curve.blend(nextSeconds) * (toRate - fromRate);
    boolean kept = random.nextDouble() * highestRate < rate;
    TimedRequest candidate = draw(index, arrivalNanos);
    advance();
    return kept ? Optional.of(candidate) : Optional.empty();
  }

  private void advance() {
    nextSeconds += gap.sample();
  }

  private TimedRequest draw(long index, long arrivalNanos) {
    return new TimedRequest(
        index,
        arrivalNanos,
        traffic,
        traffic.tenants().get(random.nextInt(traffic.tenants().size())),
        models.get(random.nextInt(models.size())),
        drawPrefix(),
        traffic.prompt().sample(random),
        traffic.output().sample(random));
  }

  private int drawPrefix() {
    double point = random.nextDouble();
    int prefix = 0;
    while (prefixCumulative[prefix] < point) {
      prefix++;
    }
    return prefix;
  }

  private static double[] cumulativePopularity(int count) {
    double[] cumulative = new double[count];
    double sum = 0;
    for (int rank = 0; rank < count; rank++) {
      sum += 1.0 / (rank + 1);
      cumulative[rank] = sum;
    }
    for (int rank = 0; rank < count; rank++) {
      cumulative[rank] /= sum;
    }
    cumulative[count - 1] = 1;
    return cumulative;
  }
}
