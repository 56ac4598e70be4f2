package org.fallturn.core.dispatch;

import java.util.List;
import java.util.Map;
import org.fallturn.core.limits.BudgetDigest;

/**
 * The load of a node, or of a group of nodes that it speaks for, told to other nodes. Immutable.
 *
 * @param node name of the node that speaks
 * @param incarnation rises with each start of the node's process
 * @param sequence rises with each digest of a process
 * @param nodes how many nodes it speaks for
 * @param firstNode the first of the names of those that may order changes of stage; empty when none
 *     may
 * @param engines what it has where, by engine id; engines it has nothing at are left out
 * @param prompts prompts it placed since the digest before
 * @param speeds how fast engines read, by service, as far as it has learned it
 * @param budgets parts of retry budgets, by service; those that nobody wants are left out
 */
public record LoadDigest(
    String node,
    long incarnation,
    long sequence,
    int nodes,
    String firstNode,
    Map<String, EngineDigest> engines,
    List<PlacedPrompt> prompts,
    Map<String, LearnedSpeed> speeds,
    Map<String, BudgetDigest> budgets) {

  /** Private copies. */
  public LoadDigest {
    engines = Map.copyOf(engines);
    prompts = List.copyOf(prompts);
    speeds = Map.copyOf(speeds);
    budgets = Map.copyOf(budgets);
  }

  /** What is said where no retry budget is wanted. */
  public LoadDigest(
      String node,
      long incarnation,
      long sequence,
      int nodes,
      String firstNode,
      Map<String, EngineDigest> engines,
      List<PlacedPrompt> prompts,
      Map<String, LearnedSpeed> speeds) {
    this(node, incarnation, sequence, nodes, firstNode, engines, prompts, speeds, Map.of());
  }

  /** What a node says that speaks only for itself. */
  public LoadDigest(
      String node,
      long incarnation,
      long sequence,
      Map<String, EngineDigest> engines,
      List<PlacedPrompt> prompts,
      Map<String, LearnedSpeed> speeds) {
    this(node, incarnation, sequence, 1, node, engines, prompts, speeds);
  }

  /** The same speaker and news with the load of another group. */
  LoadDigest withGroup(
      int newNodes,
      String newFirst,
      Map<String, EngineDigest> newEngines,
      Map<String, BudgetDigest> newBudgets) {
    return new LoadDigest(
        node, incarnation, sequence, newNodes, newFirst, newEngines, prompts, speeds, newBudgets);
  }

  /** The same with parts of retry budgets. */
  public LoadDigest withBudgets(Map<String, BudgetDigest> newBudgets) {
    return new LoadDigest(
        node, incarnation, sequence, nodes, firstNode, engines, prompts, speeds, newBudgets);
  }

  /** Whether this was said after the other, by a later process or later in the same one. */
  public boolean isNewerThan(LoadDigest other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : sequence > other.sequence;
  }
}
