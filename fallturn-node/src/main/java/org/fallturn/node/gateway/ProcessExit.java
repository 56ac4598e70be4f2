package org.fallturn.node.gateway;

/**
 * Ends a process that cannot go on. A process that runs several gateways passes an implementation
 * that does not end it.
 */
@FunctionalInterface
public interface ProcessExit {

  /** Exit code of a process that ends because one of its duties could not go on. */
  int DUTY_FAILED = 3;

  /** Exit code of a process that ends because it could not start, as when a port is taken. */
  int START_FAILED = 4;

  /** Ends the process with an exit code. */
  void exit(int exitCode);
}
