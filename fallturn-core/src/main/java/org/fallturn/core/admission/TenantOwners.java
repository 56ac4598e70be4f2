package org.fallturn.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.membership.RendezvousHash;

/**
 * Which node owns each tenant's quotas, by rendezvous hash over the eligible nodes. A node that
 * comes is compared with each present owner only, and a node that goes moves only what it owned, so
 * that a change among many nodes costs one hash a tenant and not one a tenant and node. Owned by
 * one thread.
 */
final class TenantOwners {

  private static final String DUTY = "quota/";

  private final Map<String, NodeId> owners = new HashMap<>();
  private Set<NodeId> eligible = Set.of();
  private Set<String> tenants = Set.of();

  /** Takes over who is there; false when nothing has changed. */
  boolean update(Set<String> newTenants, Set<NodeId> newEligible) {
    if (newTenants.equals(tenants) && newEligible.equals(eligible)) {
      return false;
    }
    Set<NodeId> added = new HashSet<>(newEligible);
    added.removeAll(eligible);
    tenants = Set.copyOf(newTenants);
    eligible = Set.copyOf(newEligible);
    owners.keySet().retainAll(tenants);
    if (eligible.isEmpty()) {
      owners.clear();
    } else {
      tenants.forEach(tenant -> owners.put(tenant, owner(tenant, added)));
    }
    return true;
  }

  private NodeId owner(String tenant, Set<NodeId> added) {
    NodeId present = owners.get(tenant);
    if (present == null || !eligible.contains(present)) {
      return first(tenant, eligible);
    }
    if (added.isEmpty()) {
      return present;
    }
    Set<NodeId> contenders = new HashSet<>(added);
    contenders.add(present);
    return first(tenant, contenders);
  }

  private static NodeId first(String tenant, Set<NodeId> nodes) {
    return RendezvousHash.top(DUTY + tenant, nodes, 1).get(0);
  }

  /** The owner of each tenant; a live view. */
  Map<String, NodeId> owners() {
    return owners;
  }
}
