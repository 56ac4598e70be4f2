package org.fallturn.core.dispatch;

import java.util.List;
import java.util.Map;
import org.fallturn.core.limits.BudgetDigest;

/**
 * The load of one node, or of a group of nodes for which it speaks, as reported to other nodes.
 * Immutable.
 *
 * @param node name of the reporting node
 * @param incarnation increases with each start of the node's process
 * @param sequence increases with each digest of a process
 * @param nodes number of nodes for which it speaks
 * @param firstNode the first, in alphabetical order, of the names of those nodes that may order
 *     changes of stage; empty if none may
 * @param engines the load at each engine, by engine id; those with nothing to report are left out
 * @param prompts prompts placed since the last digest
 * @param speeds how fast engines read prompts, by service, as far as the node has learned it
 * @param budgets shares of retry budgets, by service; budgets that no node needs are left out
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

  /** Copies the collections. */
  public LoadDigest {
    engines = Map.copyOf(engines);
    prompts = List.copyOf(prompts);
    speeds = Map.copyOf(speeds);
    budgets = Map.copyOf(budgets);
  }

  /** Creates a digest without retry budgets. */
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

  /** Creates the digest of a node that speaks only for itself. */
  public LoadDigest(
      String node,
      long incarnation,
      long sequence,
      Map<String, EngineDigest> engines,
      List<PlacedPrompt> prompts,
      Map<String, LearnedSpeed> speeds) {
    this(node, incarnation, sequence, 1, node, engines, prompts, speeds);
  }

  /**
   * Returns the digest of the same node with the load of a group, and with its own prompts and
   * speeds.
   */
  LoadDigest withGroup(
      int newNodes,
      String newFirst,
      Map<String, EngineDigest> newEngines,
      Map<String, BudgetDigest> newBudgets) {
    return new LoadDigest(
        node, incarnation, sequence, newNodes, newFirst, newEngines, prompts, speeds, newBudgets);
  }

  /** Returns the same digest with other shares of retry budgets. */
  public LoadDigest withBudgets(Map<String, BudgetDigest> newBudgets) {
    return new LoadDigest(
        node, incarnation, sequence, nodes, firstNode, engines, prompts, speeds, newBudgets);
  }

  /**
   * Returns whether this digest is newer than the other one: from a later process of the node, or
   * later in the same process.
   */
  public boolean isNewerThan(LoadDigest other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : sequence > other.sequence;
  }
}
