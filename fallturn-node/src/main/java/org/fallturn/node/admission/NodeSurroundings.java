package org.fallturn.node.admission;

import java.util.HashSet;
import java.util.Set;
import org.fallturn.core.admission.QuotaSurroundings;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;

/** Puts together what membership and machine list say of the nodes. Holds no state. */
final class NodeSurroundings {

  private NodeSurroundings() {}

  static QuotaSurroundings of(MembershipView view, MachineList machines) {
    Set<NodeId> eligible = new HashSet<>();
    Set<NodeId> seen = new HashSet<>();
    for (Member member : view.members().values()) {
      if (member.state() != Member.State.DEAD) {
        seen.add(member.node());
      }
      if (member.state() == Member.State.ALIVE || member.state() == Member.State.SUSPECT) {
        eligible.add(member.node());
      }
    }
    seen.add(view.self());
    if (eligible.isEmpty()) {
      eligible.add(view.self());
    }
    return new QuotaSurroundings(eligible, seen, listed(machines));
  }

  private static Set<NodeId> listed(MachineList machines) {
    Set<NodeId> listed = new HashSet<>();
    for (Machine machine : machines.machines()) {
      if (machine.kind() == Machine.Kind.NODE) {
        listed.add(new NodeId(machine.id()));
      }
    }
    return listed;
  }
}
