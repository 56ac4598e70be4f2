package org.fallturn.node.operators;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.query.Condition;
import org.fallturn.core.query.Row;
import org.fallturn.core.query.Truth;
import org.fallturn.core.query.Value;

/**
 * Which owners of tenants' quotas a query has to ask: those of the tenants that its condition does
 * not rule out. At most {@link #MAX_ASKED} are asked; the others are named as missing, so that a
 * query without a condition on the tenant does not go to the whole fleet.
 */
public final class QuotaOwners {

  /** Most nodes asked for one query. */
  static final int MAX_ASKED = 64;

  private final Supplier<ConfigurationImage> configuration;
  private final Function<TenantName, NodeId> ownerOf;
  private final Function<NodeId, Optional<NetworkAddress>> addressOf;

  /** Owners as this node sees them. */
  public QuotaOwners(
      Supplier<ConfigurationImage> configuration,
      Function<TenantName, NodeId> ownerOf,
      Function<NodeId, Optional<NetworkAddress>> addressOf) {
    this.configuration = configuration;
    this.ownerOf = ownerOf;
    this.addressOf = addressOf;
  }

  List<PartTarget> targets(NodeId self, Optional<Condition> where, int columns) {
    Map<NodeId, List<String>> tenantsOfOwner = new TreeMap<>();
    for (String tenant : configuration.get().tenants().keySet()) {
      if (mayMatch(where, tenant, columns)) {
        NodeId owner = ownerOf.apply(new TenantName(tenant));
        tenantsOfOwner.computeIfAbsent(owner, key -> new ArrayList<>()).add(tenant);
      }
    }
    List<PartTarget> targets = new ArrayList<>();
    tenantsOfOwner.forEach(
        (owner, tenants) -> {
          String name = "quota owner " + owner + " of " + tenants.size() + " tenants";
          boolean asked = targets.size() < MAX_ASKED;
          Optional<NetworkAddress> address = asked ? addressOf.apply(owner) : Optional.empty();
          targets.add(new PartTarget(name, address.stream().toList(), asked && owner.equals(self)));
        });
    return targets;
  }

  private static boolean mayMatch(Optional<Condition> where, String tenant, int columns) {
    List<Value> values = new ArrayList<>(Collections.nCopies(columns, Value.NULL));
    values.set(0, Value.of(tenant));
    return where.isEmpty() || where.get().test(new Row(values)) != Truth.FALSE;
  }
}
