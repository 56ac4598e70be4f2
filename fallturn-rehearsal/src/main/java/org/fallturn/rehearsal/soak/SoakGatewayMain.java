package org.fallturn.rehearsal.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;
import org.fallturn.platform.PlatformMain;
import org.fallturn.rehearsal.emulator.EngineLinks;
import org.fallturn.rehearsal.faults.LinkFaults;

/**
 * The real program, behind links to the engines of its own. A file, which the soak writes, names
 * the faults on them. The links are in this process, so that no other gateway uses them, and stand
 * still with it.
 */
public final class SoakGatewayMain {

  private static final int CHECK_MILLIS = 50;

  private SoakGatewayMain() {}

  /** Faults on all links, by the names that stand in the file. */
  enum Fault {
    NONE(LinkFaults.NONE),
    SILENT(LinkFaults.SILENT),
    CUT(LinkFaults.CUT);

    private final LinkFaults faults;

    Fault(LinkFaults faults) {
      this.faults = faults;
    }
  }

  /**
   * Runs the gateway until SIGTERM.
   *
   * @param arguments the file of the settings, that of the faults, and the host that connections to
   *     engines come from
   */
  public static void main(String[] arguments) throws Exception {
    EngineLinks links = new EngineLinks(arguments[2]);
    Path file = Path.of(arguments[1]);
    Thread watcher = new Thread(() -> follow(file, links), "links");
    watcher.setDaemon(true);
    watcher.start();
    PlatformMain.run(arguments, links::putBefore);
  }

  private static void follow(Path file, EngineLinks links) {
    try {
      while (true) {
        links.setAll(read(file).faults);
        TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      throw new IllegalStateException("the faults cannot be read", e);
    }
  }

  private static Fault read(Path file) throws IOException {
    try {
      return Fault.valueOf(Files.readString(file).strip());
    } catch (NoSuchFileException e) {
      return Fault.NONE;
    }
  }

  /** Names the faults in the file, in one step. */
  static void write(Path file, Fault fault) throws IOException {
    Path next = file.resolveSibling(file.getFileName() + ".next");
    Files.writeString(next, fault.name());
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
  }
}
