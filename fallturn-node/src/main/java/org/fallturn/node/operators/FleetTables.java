package org.fallturn.node.operators;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.core.query.Column;
import org.fallturn.core.query.LiveRows;
import org.fallturn.core.query.LiveTable;
import org.fallturn.core.query.Row;
import org.fallturn.core.query.TableSchema;
import org.fallturn.node.configuration.LocalNode;

/** Tables of the fleet as one node sees it: members, nodes, machines, configuration. */
public final class FleetTables {

  private static final TableSchema MEMBERS =
      TableSchema.of(
          "members",
          Column.text("node"),
          Column.text("region"),
          Column.text("zone"),
          Column.text("state"),
          Column.integer("incarnation"),
          Column.text("peer_address"),
          Column.text("gossip_address"),
          Column.integer("configuration_version"));

  private static final TableSchema NODES =
      TableSchema.of(
          "nodes",
          Column.text("node"),
          Column.text("region"),
          Column.text("zone"),
          Column.text("address"),
          Column.text("listed"),
          Column.text("member"),
          Column.bool("drained"));

  private static final TableSchema MACHINES =
      TableSchema.of(
          "machines",
          Column.text("machine"),
          Column.text("kind"),
          Column.text("region"),
          Column.text("zone"),
          Column.text("address"),
          Column.text("serves"),
          Column.text("state"),
          Column.bool("drained"));

  private static final TableSchema CONFIGURATION =
      TableSchema.of(
          "configuration",
          Column.text("node"),
          Column.text("zone"),
          Column.integer("version"),
          Column.integer("newest_known"),
          Column.bool("in_force"));

  private final LocalNode self;
  private final Supplier<MembershipView> view;
  private final Supplier<MachineList> machines;
  private final Supplier<ConfigurationImage> configuration;

  /** Tables over what one node knows. */
  public FleetTables(
      LocalNode self,
      Supplier<MembershipView> view,
      Supplier<MachineList> machines,
      Supplier<ConfigurationImage> configuration) {
    this.self = self;
    this.view = view;
    this.machines = machines;
    this.configuration = configuration;
  }

  /** Registers all of them. */
  public void register(TableRegistry registry) {
    registry.register(new SuppliedTable(MEMBERS, LiveTable.Scope.EACH_ZONE, this::members));
    registry.register(new SuppliedTable(NODES, LiveTable.Scope.THIS_NODE, this::nodes));
    registry.register(new SuppliedTable(MACHINES, LiveTable.Scope.THIS_NODE, this::machines));
    registry.register(
        new SuppliedTable(CONFIGURATION, LiveTable.Scope.EACH_ZONE, this::configuration));
  }

  private LiveRows members() {
    List<Row> rows = new ArrayList<>();
    for (Member member : zoneMembers()) {
      rows.add(
          Row.of(
              member.node(),
              member.region(),
              member.zone(),
              member.state(),
              member.incarnation(),
              member.peerAddress(),
              member.gossipAddress(),
              member.configurationVersion()));
    }
    return LiveRows.current(rows);
  }

  private LiveRows configuration() {
    long newest = configuration.get().version();
    List<Row> rows = new ArrayList<>();
    boolean hasSelf = false;
    for (Member member : zoneMembers()) {
      boolean isSelf = member.node().equals(self.node());
      hasSelf |= isSelf;
      rows.add(configurationRow(member.node(), isSelf ? newest : member.configurationVersion()));
    }
    if (!hasSelf) {
      rows.add(configurationRow(self.node(), newest));
    }
    return LiveRows.current(rows);
  }

  private Row configurationRow(NodeId node, long version) {
    long newest = configuration.get().version();
    return Row.of(node, self.zone(), version, newest, version >= newest);
  }

  private LiveRows nodes() {
    List<Row> rows = new ArrayList<>();
    MembershipView members = view.get();
    for (Machine machine : listed()) {
      if (machine.kind() != Machine.Kind.NODE) {
        continue;
      }
      Member member = members == null ? null : members.members().get(new NodeId(machine.id()));
      rows.add(
          Row.of(
              machine.id(),
              machine.region(),
              machine.zone(),
              machine.address(),
              machine.state(),
              member == null ? "UNKNOWN" : member.state(),
              configuration.get().isDrained(machine.id())));
    }
    return LiveRows.current(rows);
  }

  private LiveRows machines() {
    List<Row> rows = new ArrayList<>();
    for (Machine machine : listed()) {
      Object serves =
          machine.model().isPresent()
              ? machine.model().get()
              : machine.service().map(Object.class::cast).orElse(null);
      rows.add(
          Row.of(
              machine.id(),
              machine.kind(),
              machine.region(),
              machine.zone(),
              machine.address(),
              serves,
              machine.state(),
              configuration.get().isDrained(machine.id())));
    }
    return LiveRows.current(rows);
  }

  private List<Machine> listed() {
    MachineList list = machines.get();
    return list == null ? List.of() : list.machines();
  }

  private List<Member> zoneMembers() {
    MembershipView current = view.get();
    if (current == null) {
      return List.of();
    }
    return current.members().values().stream()
        .filter(member -> member.zone().equals(self.zone()))
        .toList();
  }
}
