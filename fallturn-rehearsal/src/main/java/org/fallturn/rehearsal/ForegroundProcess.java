package org.fallturn.rehearsal;

import java.util.concurrent.CountDownLatch;
import org.fallturn.core.domain.NetworkAddress;

/** Runs a stand-in as a process: says where it listens, then waits for the stop signal. */
public final class ForegroundProcess {

  private ForegroundProcess() {}

  /** Prints the address, waits until the process is told to stop, closes the stand-in. */
  public static int serve(NetworkAddress address, AutoCloseable standIn)
      throws InterruptedException {
    System.out.println("listening " + address);
    System.out.flush();
    CountDownLatch stopped = new CountDownLatch(1);
    Thread hook = new Thread(() -> close(standIn, stopped), "stop");
    Runtime.getRuntime().addShutdownHook(hook);
    stopped.await();
    return 0;
  }

  private static void close(AutoCloseable standIn, CountDownLatch stopped) {
    try {
      standIn.close();
    } catch (Exception e) {
      System.err.println("stop failed: " + e);
    } finally {
      stopped.countDown();
    }
  }
}
