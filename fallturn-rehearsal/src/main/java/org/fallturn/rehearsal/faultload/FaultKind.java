package org.fallturn.rehearsal.faultload;

/** What the experiment does to the fleet. */
public enum FaultKind {
  /** A node process is killed; another one takes its place. */
  NODE_KILLED(false),
  /** A node process stands still for seconds. */
  NODE_PAUSED(false),
  /** A node is cut off from the other nodes and from the platform. */
  NODE_ISOLATED(false),
  /** An engine process is killed; another one takes its place. */
  ENGINE_KILLED(false),
  /** The link to an engine resets each connection after some bytes. */
  ENGINE_LINK_RESETS(false),
  /** The link to an engine delays each chunk. */
  ENGINE_LINK_SLOW(false),
  /** Gossip is lost, doubled and reordered. */
  GOSSIP_DISTURBED(false),
  /** The table service refuses every call. */
  STORE_DOWN(false),
  /** The table service never answers. */
  STORE_SILENT(false),
  /** The platform answers late. */
  STORE_SLOW(false),
  /** Table writes take effect, but their answers are lost. */
  STORE_ANSWERS_LOST(false),
  /** An application does its work, but its answers are lost. */
  APPLICATION_ANSWERS_LOST(false),
  /** A node is told to stop; another one takes its place. */
  NODE_STOPPED_AS_PLANNED(true),
  /** The platform announces that an engine leaves, and takes it away when it is idle. */
  ENGINE_LEAVES_AS_PLANNED(true);

  private final boolean planned;

  FaultKind(boolean planned) {
    this.planned = planned;
  }

  /** Whether this is a planned change, which must cut no request. */
  public boolean planned() {
    return planned;
  }
}
