package org.fallturn.rehearsal.workload;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The requests of one run in order of arrival. Equal workload, shift and seed give equal requests.
 *
 * <p>Each traffic class draws from a random stream of its own at its highest rate, and candidates
 * beyond the present rate are skipped with their numbers drawn. So what a reactive shift lets
 * through differs from run to run, but a request that two runs both have is the same request.
 *
 * <p>Not thread-safe. A request is drawn when it is asked for, so a caller that wants {@link
 * MixFeedback} to be timely asks for the next one only when it has reached the last.
 */
public final class ArrivalGenerator implements Iterator<TimedRequest> {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long CLASS_STREAM = 0x9e3779b97f4a7c15L;

  private final double durationSeconds;
  private final List<ClassArrivals> streams = new ArrayList<>();
  private long nextIndex;
  private Optional<TimedRequest> ready = Optional.empty();

  /**
   * Starts a run.
   *
   * @param feedback what an adversarial shift may look at
   */
  public ArrivalGenerator(Workload workload, MixShift shift, long seed, MixFeedback feedback) {
    durationSeconds = workload.durationSeconds();
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    double rateFactor = workload.rateSpread().draw(random);
    MixCurve curve = new MixCurve(shift, workload.balancedPrefillShare(), random, feedback);
    for (int index = 0; index < workload.classes().size(); index++) {
      double from = rateFactor * workload.mixes().get(shift.from()).requestsPerSecond().get(index);
      double to = rateFactor * workload.mixes().get(shift.to()).requestsPerSecond().get(index);
      if (from > 0 || to > 0) {
        UniformRandomProvider own =
            RandomSource.XO_SHI_RO_256_PP.create(seed * CLASS_STREAM + index);
        streams.add(
            new ClassArrivals(
                workload.classes().get(index),
                workload.deployment().models(),
                curve,
                from,
                to,
                own));
      }
    }
  }

  @Override
  public boolean hasNext() {
    while (ready.isEmpty() && earliest().nextSeconds() < durationSeconds) {
      ClassArrivals stream = earliest();
      long arrivalNanos = (long) (stream.nextSeconds() * NANOS_PER_SECOND);
      ready = stream.take(nextIndex, arrivalNanos);
    }
    return ready.isPresent();
  }

  @Override
  public TimedRequest next() {
    if (!hasNext()) {
      throw new NoSuchElementException("the run is over");
    }
    TimedRequest request = ready.orElseThrow();
    ready = Optional.empty();
    nextIndex++;
    return request;
  }

  private ClassArrivals earliest() {
    ClassArrivals earliest = streams.get(0);
    for (ClassArrivals stream : streams) {
      if (stream.nextSeconds() < earliest.nextSeconds()) {
        earliest = stream;
      }
    }
    return earliest;
  }
}
