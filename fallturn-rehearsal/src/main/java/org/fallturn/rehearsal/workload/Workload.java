package org.fallturn.rehearsal.workload;

import java.util.List;
import java.util.Optional;

/**
 * A workload file: a fleet, the requests it gets, and the shifts of their mix.
 *
 * @param name its name
 * @param deployment the fleet
 * @param durationSeconds length of a run
 * @param rateSpread each run multiplies every rate by one number of this range
 * @param balancedPrefillShare an adversarial shift takes a larger share as "too many prefill"
 * @param classes kinds of requests
 * @param mixes rates by name
 * @param shifts movements between the mixes; each is one experiment
 */
public record Workload(
    String name,
    Deployment deployment,
    double durationSeconds,
    NumberRange rateSpread,
    double balancedPrefillShare,
    List<TrafficClass> classes,
    List<Mix> mixes,
    List<MixShift> shifts) {
  /** Private copies of the lists. */
  public Workload {
    classes = List.copyOf(classes);
    mixes = List.copyOf(mixes);
    shifts = List.copyOf(shifts);
  }

  /** A shift by name. */
  public Optional<MixShift> shift(String shiftName) {
    return shifts.stream().filter(shift -> shift.name().equals(shiftName)).findFirst();
  }
}
