package org.fallturn.rehearsal.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.fallturn.platform.PlatformMain;
import org.fallturn.rehearsal.fleet.ManagedProcess;

/**
 * Starts a gateway's processes, of this build or of another by turns: so builds run beside each
 * other, and each replaces the other, in both directions. One thread calls.
 */
final class SoakBuilds {

  private final String otherBuild;
  private boolean otherNext;

  private SoakBuilds(String otherBuild, boolean otherNext) {
    this.otherBuild = otherBuild;
    this.otherNext = otherNext;
  }

  /**
   * The builds of one gateway.
   *
   * @param otherBuild class path of the other build; empty for this one alone
   * @param gateway index of the gateway; odd ones begin with the other build
   */
  static SoakBuilds of(String otherBuild, int gateway) {
    return new SoakBuilds(otherBuild, beginsWithOther(gateway));
  }

  /** Whether the first process of a gateway runs the other build, where there is one. */
  static boolean beginsWithOther(int gateway) {
    return gateway % 2 == 1;
  }

  /**
   * Starts the next process; all append to the same log.
   *
   * @param host host that its connections to engines come from
   */
  ManagedProcess start(String name, Path directory, Path settings, Path linkFaults, String host)
      throws IOException {
    boolean other = otherNext && !otherBuild.isEmpty();
    otherNext = !otherNext;
    List<String> arguments = List.of(settings.toString(), linkFaults.toString(), host);
    return other
        ? ManagedProcess.startBuild(name, directory, otherBuild, PlatformMain.class, arguments)
        : ManagedProcess.start(name, directory, SoakGatewayMain.class, arguments);
  }
}
