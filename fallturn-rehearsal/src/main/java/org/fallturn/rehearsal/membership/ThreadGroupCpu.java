package org.fallturn.rehearsal.membership;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;

/**
 * Processor time of hollow nodes that share a process. Each node is built on a thread of a group of
 * its own; the threads it starts belong to the group. What a thread used after the last sample
 * before its end is lost. Any thread may call.
 */
final class ThreadGroupCpu {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final int SPARE_SLOTS = 16;

  private final ThreadGroup group;
  private final Map<Long, Long> lastByThread = new HashMap<>();
  private final Map<String, Long> nanosByDuty = new HashMap<>();

  ThreadGroupCpu(String name) {
    group = new ThreadGroup(name);
  }

  /** Runs a task on a thread of the group. */
  <T> T call(Callable<T> task) throws Exception {
    FutureTask<T> future = new FutureTask<>(task);
    new Thread(group, future, group.getName() + "-start").start();
    try {
      return future.get();
    } catch (ExecutionException e) {
      throw e.getCause() instanceof Exception cause ? cause : e;
    }
  }

  /** Processor time of the group's threads. */
  long cpuNanos() {
    return cpuNanosByDuty().values().stream().mapToLong(Long::longValue).sum();
  }

  /** Processor time by thread name, numbers and the group's name taken off. */
  synchronized Map<String, Long> cpuNanosByDuty() {
    Thread[] threads = new Thread[group.activeCount() * 2 + SPARE_SLOTS];
    int count = group.enumerate(threads, true);
    Map<Long, Long> present = new HashMap<>();
    for (int index = 0; index < count; index++) {
      long id = threads[index].getId();
      long nanos = THREADS.getThreadCpuTime(id);
      if (nanos >= 0) {
        present.put(id, nanos);
        long added = nanos - lastByThread.getOrDefault(id, 0L);
        nanosByDuty.merge(duty(threads[index].getName()), added, Long::sum);
      }
    }
    lastByThread.clear();
    lastByThread.putAll(present);
    return Map.copyOf(nanosByDuty);
  }

  /** Live threads of the group. */
  int threads() {
    return group.activeCount();
  }

  private String duty(String threadName) {
    return threadName.replace(group.getName(), "").replaceAll("-?[0-9@].*$|-$", "");
  }
}
