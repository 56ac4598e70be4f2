package org.fallturn.rehearsal.experiment;

/** The role policies that play against each other. */
enum Contender {
  /** The policy that nodes run. */
  PREDICTIVE("predictive"),
  /** Knows the coming requests and searches for the best plan. */
  ORACLE("oracle"),
  /** The best fixed split, chosen after the run. */
  BEST_STATIC("best static"),
  /** Reacts to marks on utilization. */
  THRESHOLD("threshold");

  private final String title;

  Contender(String title) {
    this.title = title;
  }

  String title() {
    return title;
  }
}
