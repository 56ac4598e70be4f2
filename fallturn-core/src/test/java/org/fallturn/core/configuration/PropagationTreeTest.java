package org.fallturn.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;
import org.fallturn.core.domain.NodeId;
import org.junit.jupiter.api.Test;

class PropagationTreeTest {

  private final List<NodeId> nodes =
      IntStream.range(0, 62).mapToObj(index -> new NodeId("node-" + index)).toList();

  @Test
  void reachesEachNodeExactlyOnce() {
    PropagationTree tree = new PropagationTree(nodes, 7);
    Deque<NodeId> queue = new ArrayDeque<>(tree.root());
    List<NodeId> reached = new ArrayList<>();
    while (!queue.isEmpty()) {
      NodeId node = queue.removeFirst();
      reached.add(node);
      queue.addAll(tree.childrenOf(node));
    }

    assertThat(reached).containsExactlyInAnyOrderElementsOf(nodes);
  }

  @Test
  void rootChangesWithVersion() {
    long roots =
        IntStream.range(0, 40)
            .mapToObj(version -> new PropagationTree(nodes, version).root())
            .distinct()
            .count();

    assertThat(roots).isGreaterThan(10);
  }

  @Test
  void watchersStayWhenAnotherNodeGoes() {
    List<NodeId> watchers = HeadWatchers.of(nodes);
    List<NodeId> rest =
        nodes.stream().filter(node -> watchers.contains(node) || node.hashCode() % 2 == 0).toList();

    assertThat(watchers).hasSize(HeadWatchers.PER_ZONE);
    assertThat(HeadWatchers.of(rest)).isEqualTo(watchers);
  }
}
