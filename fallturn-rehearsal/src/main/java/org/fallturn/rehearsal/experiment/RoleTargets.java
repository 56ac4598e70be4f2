package org.fallturn.rehearsal.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Holds the measured figures of the policy against the users' targets. Pure. */
final class RoleTargets {
  private static final double GOODPUT_OF_ORACLE = 0.97;
  private static final double URGENT_IN_TIME = 0.99;
  private static final double CHANGES_OF_ORACLE = 1.25;
  private static final double CHANGES_OF_THRESHOLD = 0.5;

  private RoleTargets() {}

  /**
   * One line for each target of one shift that is missed.
   *
   * @param ofShift the summaries of the shift, in the order of the contenders
   * @param weighsChanges whether the operator gives role changes a weight
   */
  static List<String> missed(List<RoleSummary> ofShift, boolean weighsChanges) {
    RoleSummary own = ofShift.get(Contender.PREDICTIVE.ordinal());
    RoleSummary oracle = ofShift.get(Contender.ORACLE.ordinal());
    RoleSummary fixed = ofShift.get(Contender.BEST_STATIC.ordinal());
    RoleSummary threshold = ofShift.get(Contender.THRESHOLD.ordinal());
    List<String> missed = new ArrayList<>();
    String where = own.workload() + " " + own.shift() + ": ";
    if (own.goodputOfOracle() < GOODPUT_OF_ORACLE) {
      missed.add(where + figure("goodput of the oracle's", own.goodputOfOracle(), ">= 0.97"));
    }
    for (RoleSummary other : List.of(fixed, threshold)) {
      if (own.goodput().mean() <= other.goodput().mean()) {
        missed.add(
            where
                + figure("goodput", own.goodput().mean(), "above " + other.contender())
                + figure(", which has", other.goodput().mean(), "in mean"));
      }
    }
    if (own.urgentInTime().mean() < URGENT_IN_TIME) {
      missed.add(where + figure("urgent in time", own.urgentInTime().mean(), ">= 0.99"));
    }
    if (weighsChanges) {
      addChanges(missed, where, own, oracle, threshold);
    }
    return missed;
  }

  private static void addChanges(
      List<String> missed,
      String where,
      RoleSummary own,
      RoleSummary oracle,
      RoleSummary threshold) {
    double changes = own.roleChanges().mean();
    double oracleChanges = oracle.roleChanges().mean();
    if (changes > CHANGES_OF_ORACLE * oracleChanges) {
      missed.add(where + figure("role changes", changes, "<= 1.25 times " + oracleChanges));
    }
    if (changes >= CHANGES_OF_THRESHOLD * threshold.roleChanges().mean()) {
      missed.add(
          where + figure("role changes", changes, "< half of " + threshold.roleChanges().mean()));
    }
  }

  private static String figure(String what, double value, String target) {
    return String.format(Locale.ROOT, "%s %.4f, target %s", what, value, target);
  }
}
