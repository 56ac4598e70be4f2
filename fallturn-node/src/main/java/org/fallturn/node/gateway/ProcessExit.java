package org.fallturn.node.gateway;

/**
 * Ends a process that cannot go on. A process that runs several gateways passes an implementation
 * that does not end it.
 */
@FunctionalInterface
public interface ProcessExit {

  /** Exit code of a process that ends because one of its duties could not go on. */
  int DUTY_FAILED = 3;

  /** Ends the process with an exit code. */
  void exit(int exitCode);
}
