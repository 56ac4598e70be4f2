package org.fallturn.node.gateway;

/** How a process ends that cannot go on; whoever runs several gateways in one ends none. */
@FunctionalInterface
public interface ProcessExit {

  /** Exit code of a process one of whose duties could not go on. */
  int DUTY_FAILED = 3;

  /** Ends the process. */
  void end(int exitCode);
}
