package org.fallturn.rehearsal.signals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fallturn.platform.PlatformMain;

/**
 * The real program beside a thread that uses up the heap, again and again, while a file is there.
 * Allocations of the gateway then fail wherever they happen to be.
 */
public final class HungryGatewayMain {

  private static final int CHECK_MILLIS = 20;
  private static final int HOLD_MILLIS = 15;
  private static final int FIRST_BYTES = 1 << 20;
  private static final int LAST_BYTES = 64;

  private HungryGatewayMain() {}

  /**
   * Runs the gateway until SIGTERM.
   *
   * @param arguments the file of the settings, and the file whose presence makes it hungry
   */
  public static void main(String[] arguments) throws Exception {
    Path trigger = Path.of(arguments[1]);
    Thread hunger = new Thread(() -> eatWhile(trigger), "hunger");
    hunger.setDaemon(true);
    hunger.start();
    PlatformMain.main(arguments);
  }

  private static void eatWhile(Path trigger) {
    try {
      while (true) {
        if (Files.exists(trigger)) {
          eat();
        }
        TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Takes ever smaller pieces until none is left, and gives all of them back a moment later. */
  private static void eat() throws InterruptedException {
    List<byte[]> eaten = new ArrayList<>(1 << 16);
    for (int bytes = FIRST_BYTES; bytes >= LAST_BYTES; bytes /= 2) {
      takeAll(eaten, bytes);
    }
    TimeUnit.MILLISECONDS.sleep(HOLD_MILLIS);
  }

  private static void takeAll(List<byte[]> eaten, int bytes) {
    try {
      while (eaten.size() < 1 << 16) {
        eaten.add(new byte[bytes]);
      }
    } catch (OutOfMemoryError full) {
      // What is left is smaller.
    }
  }
}
