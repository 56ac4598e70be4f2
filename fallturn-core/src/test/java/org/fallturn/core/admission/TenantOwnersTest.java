package org.fallturn.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.membership.RendezvousHash;

class TenantOwnersTest {

  @Property(tries = 100, seed = "20261203")
  void stepByStepGivesTheSameOwnersAsFromScratch(
      @ForAll @Size(min = 1, max = 8) List<Set<@IntRange(max = 12) Integer>> nodeSets,
      @ForAll @Size(min = 1, max = 8) List<Set<@IntRange(max = 12) Integer>> tenantSets) {
    TenantOwners owners = new TenantOwners();
    for (int step = 0; step < Math.max(nodeSets.size(), tenantSets.size()); step++) {
      Set<NodeId> nodes = nodes(nodeSets.get(step % nodeSets.size()));
      Set<String> tenants = tenants(tenantSets.get(step % tenantSets.size()));
      owners.update(tenants, nodes);
      assertThat(owners.update(tenants, nodes)).isFalse();
      assertThat(owners.owners().keySet()).isEqualTo(nodes.isEmpty() ? Set.of() : tenants);
      owners
          .owners()
          .forEach(
              (tenant, owner) ->
                  assertThat(RendezvousHash.top("quota/" + tenant, nodes, 1))
                      .containsExactly(owner));
    }
  }

  private static Set<NodeId> nodes(Set<Integer> numbers) {
    return numbers.stream().map(number -> new NodeId("node-" + number)).collect(Collectors.toSet());
  }

  private static Set<String> tenants(Set<Integer> numbers) {
    return numbers.stream().map(number -> "tenant-" + number).collect(Collectors.toSet());
  }
}
