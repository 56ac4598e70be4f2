package org.fallturn.rehearsal.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import org.fallturn.rehearsal.emulator.OpenWork;

/**
 * Requests that reached another engine while the one before still worked on them, though the
 * gateway that had sent them there was in touch and reached it. Pure.
 */
final class SoakOverlaps {

  /** How long an engine may work on a request that another one has. */
  static final Duration BOUND = Duration.ofMillis(400);

  private SoakOverlaps() {}

  /**
   * Finds them.
   *
   * @param works work that ends only when it is given up, by engine
   * @param arrivals what reached engines
   * @param reaches whether the gateway with a host was in touch and reached the engines at a time;
   *     false for a host that is no gateway's
   */
  static List<SoakRecord.Overlap> of(
      Map<String, List<OpenWork>> works,
      List<SoakRecord.Arrival> arrivals,
      BiPredicate<String, Long> reaches) {
    List<SoakRecord.Overlap> overlaps = new ArrayList<>();
    works.forEach(
        (engine, ofEngine) ->
            ofEngine.forEach(
                work ->
                    arrivals.stream()
                        .filter(arrival -> isElsewhere(arrival, engine, work))
                        .filter(arrival -> lastsBeyond(work, arrival, reaches))
                        .map(
                            arrival ->
                                new SoakRecord.Overlap(
                                    work.requestId(), engine, arrival.engineId()))
                        .forEach(overlaps::add)));
    return overlaps;
  }

  private static boolean isElsewhere(SoakRecord.Arrival arrival, String engine, OpenWork work) {
    return arrival.requestId().equals(work.requestId())
        && !arrival.engineId().equals(engine)
        && arrival.nanos() > work.beginNanos();
  }

  private static boolean lastsBeyond(
      OpenWork work, SoakRecord.Arrival arrival, BiPredicate<String, Long> reaches) {
    long bound = arrival.nanos() + BOUND.toNanos();
    return work.endNanos() > bound
        && reaches.test(work.senderHost(), arrival.nanos())
        && reaches.test(work.senderHost(), bound);
  }
}
