package org.fallturn.core.membership;

import org.fallturn.core.placement.PoolDigest;

/** Told what gossip brings. Called on the gossip duty's thread; must not block. */
public interface GossipListener {

  /** A pool digest newer than the one known before. */
  void onPoolDigest(PoolDigest digest);

  /** A peer has a configuration version in force above this node's own. */
  void onNewerConfiguration(Member peer, long version);

  /** A peer has a machine list newer than this node's own. */
  void onNewerMachineList(Member peer, long version);

  /** A listener that ignores everything. */
  static GossipListener none() {
    return new GossipListener() {
      @Override
      public void onPoolDigest(PoolDigest digest) {
        // Ignored.
      }

      @Override
      public void onNewerConfiguration(Member peer, long version) {
        // Ignored.
      }

      @Override
      public void onNewerMachineList(Member peer, long version) {
        // Ignored.
      }
    };
  }
}
