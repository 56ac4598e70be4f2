package org.fallturn.rehearsal.faults;

/** Starts the daemon threads of the proxy. */
final class FaultThreads {

  private static final long STACK_BYTES = 128 * 1024;

  private FaultThreads() {}

  static void start(String name, Runnable task) {
    daemon(name, task).start();
  }

  static Thread unstarted(Runnable task) {
    return daemon("fault-delays", task);
  }

  private static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, STACK_BYTES);
    thread.setDaemon(true);
    return thread;
  }
}
