package org.fallturn.core.membership;

import java.util.Map;
import java.util.Optional;
import org.fallturn.core.domain.NodeId;

/**
 * The members one node knows, at one moment. Immutable; any thread may read it.
 *
 * @param self the node itself
 * @param members every member known and not forgotten, the node itself included
 */
public record MembershipView(NodeId self, Map<NodeId, Member> members) {

  /** A private copy of the members. */
  public MembershipView {
    members = Map.copyOf(members);
  }

  /** A member by id. */
  public Optional<Member> member(NodeId node) {
    return Optional.ofNullable(members.get(node));
  }
}
