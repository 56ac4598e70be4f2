package org.fallturn.node.gossip;

import org.fallturn.core.membership.Member;

/** Told that a peer has a higher version than this node. Called on the gossip duty's thread. */
@FunctionalInterface
public interface VersionNotice {

  /** The peer has the version in force or at hand; must not block. */
  void onNewerVersion(Member peer, long version);
}
