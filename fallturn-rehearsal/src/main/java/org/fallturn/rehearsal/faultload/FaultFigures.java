package org.fallturn.rehearsal.faultload;

import java.util.Locale;
import java.util.Map;

/**
 * What one run of the experiment counted.
 *
 * @param seed the seed
 * @param seconds how long the load ran
 * @param faults faults injected, by kind
 * @param requests calls sent, retries included
 * @param complete whole answers, every byte right
 * @param notRun refused and said not to have run
 * @param unknown errors that say the outcome is unknown
 * @param unreachable calls whose node could not be connected to
 * @param cut calls that an unplanned fault cut
 * @param cutByPlannedChange calls cut, or of unknown outcome, while no unplanned fault was in force
 * @param crossed answers with bytes of another one, or short ones that looked whole
 * @param doubled actions that may not be repeated and ran more than once
 * @param ranThoughNotRun actions that ran although every attempt was told that it did not
 * @param conflictingOrders orders that an engine executed out of the order of their numbers
 */
public record FaultFigures(
    long seed,
    long seconds,
    Map<FaultKind, Integer> faults,
    long requests,
    long complete,
    long notRun,
    long unknown,
    long unreachable,
    long cut,
    long cutByPlannedChange,
    long crossed,
    long doubled,
    long ranThoughNotRun,
    long conflictingOrders) {

  /** Whether everything that must hold did hold, and the load was answered at all. */
  public boolean good() {
    return cutByPlannedChange == 0
        && crossed == 0
        && doubled == 0
        && ranThoughNotRun == 0
        && conflictingOrders == 0
        && complete > 0;
  }

  /** The figures as text. */
  public String text() {
    StringBuilder text = new StringBuilder();
    line(text, "seed", seed);
    line(text, "faults injected", faults.values().stream().mapToInt(Integer::intValue).sum());
    faults.forEach((kind, count) -> line(text, "  " + kind, count));
    line(text, "requests", requests);
    line(text, "complete", complete);
    line(text, "not run", notRun);
    line(text, "unknown", unknown);
    line(text, "unreachable", unreachable);
    line(text, "cut by a fault", cut);
    line(text, "cut by planned change", cutByPlannedChange);
    line(text, "crossed", crossed);
    line(text, "doubled", doubled);
    line(text, "ran though not run", ranThoughNotRun);
    line(text, "conflicting orders", conflictingOrders);
    return text.append(good() ? "GOOD" : "NOT GOOD").append('\n').toString();
  }

  private static void line(StringBuilder text, String name, long value) {
    text.append(String.format(Locale.ROOT, "%-28s %8d%n", name, value));
  }
}
