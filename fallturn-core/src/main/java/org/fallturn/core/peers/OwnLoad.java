package org.fallturn.core.peers;

import java.util.List;
import java.util.Map;
import org.fallturn.core.dispatch.EngineDigest;
import org.fallturn.core.dispatch.LearnedSpeed;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.quarantine.CrashReport;

/**
 * What this node itself can report to others.
 *
 * @param engines its load at the engines, by engine id
 * @param speeds the learned prefill speeds of engines, by service
 * @param crashes contents that may crash engines, as far as others should hear of them now
 * @param mayOrder whether it may order stage changes; of all nodes that may, the first by name does
 * @param budgets its parts of retry budgets, by service
 * @param versions the software versions that its directory listed lately, by service; see {@link
 *     org.fallturn.core.streams.StreamReport}
 */
public record OwnLoad(
    Map<String, EngineDigest> engines,
    Map<String, LearnedSpeed> speeds,
    List<CrashReport> crashes,
    boolean mayOrder,
    Map<String, BudgetDigest> budgets,
    Map<String, Map<String, Integer>> versions) {

  /** Creates the load of a node that reports neither retry budgets nor versions. */
  public OwnLoad(
      Map<String, EngineDigest> engines,
      Map<String, LearnedSpeed> speeds,
      List<CrashReport> crashes,
      boolean mayOrder) {
    this(engines, speeds, crashes, mayOrder, Map.of(), Map.of());
  }
}
