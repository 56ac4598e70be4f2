package org.fallturn.rehearsal.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.rehearsal.emulator.PeerLink;
import org.fallturn.rehearsal.faults.LinkFaults;
import org.fallturn.rehearsal.fleet.ManagedProcess;

/** One gateway: a process of the real program that is started again at the same addresses. */
final class SoakGateway implements AutoCloseable {

  private static final String DUTY_FAILED = "\"event\":\"DUTY_FAILED\"";

  private final String name;
  private final SoakBuilds builds;
  private final Path directory;
  private final NetworkAddress callers;
  private final Path settings;
  private final PeerLink peerLink;
  private final List<String> ownEnds = new ArrayList<>();
  private ManagedProcess process;
  private boolean toEnd;
  private final Path log;
  private final long logBegin;

  /**
   * A gateway that is not started.
   *
   * @param peerLink where it is reached by other gateways; closed with it
   * @param store where it reaches the store
   * @param api where it reports usage
   * @param seeds where it reaches some other gateways
   * @param builds which build each of its starts runs
   */
  SoakGateway(
      String name,
      Path directory,
      NetworkAddress callers,
      PeerLink peerLink,
      NetworkAddress store,
      NetworkAddress api,
      List<NetworkAddress> seeds,
      SoakBuilds builds)
      throws IOException {
    this.name = name;
    this.builds = builds;
    this.directory = directory;
    this.callers = callers;
    this.peerLink = peerLink;
    this.settings = directory.resolve(name + ".toml");
    this.log = directory.resolve(name + ".log");
    this.logBegin = Files.exists(log) ? Files.size(log) : 0;
    Files.writeString(settings, text(store, api, seeds));
  }

  private String text(NetworkAddress store, NetworkAddress api, List<NetworkAddress> seeds) {
    String seedText = String.join(",", seeds.stream().map(NetworkAddress::toString).toList());
    return String.format(
        Locale.ROOT,
        """
        [gateway]
        node_name = "%s"
        zone = "zone-1"
        callers = "%s"
        readiness = "127.0.0.1:0"
        peers = "%s"
        advertised = "%s"
        seeds = "%s"
        [store]
        address = "%s"
        [bounds]
        drain = "%dms"
        grace = "5s"
        stop_linger = "400ms"
        retry_ratio = %s
        retry_slack = %s
        retry_window = "%ds"
        [stages]
        lease_term = "%dms"
        lease_quiet = "%dms"
        [duties]
        api = "%s"
        usage_window = "%ds"
        usage_late = "%ds"
        """,
        name,
        callers,
        peerLink.gateway(),
        peerLink.advertised(),
        seedText,
        store,
        SoakFleet.DRAIN.toMillis(),
        SoakFleet.RETRY_RATIO,
        SoakFleet.RETRY_SLACK,
        SoakFleet.RETRY_WINDOW.toSeconds(),
        SoakFleet.LEASE_TERM.toMillis(),
        SoakFleet.LEASE_QUIET.toMillis(),
        api,
        SoakFleet.USAGE_WINDOW.toSeconds(),
        SoakFleet.USAGE_LATE.toSeconds());
  }

  String name() {
    return name;
  }

  NetworkAddress callers() {
    return callers;
  }

  /** Each start appends to the same log file. */
  void start() throws IOException {
    toEnd = false;
    process = builds.start(name, directory, settings, linkFaults(), senderHost());
  }

  private Path linkFaults() {
    return directory.resolve(name + ".links");
  }

  /** Puts faults on the links to all engines; a process of another build has none. */
  void setLinks(SoakGatewayMain.Fault fault) throws IOException {
    SoakGatewayMain.write(linkFaults(), fault);
  }

  /** Puts faults on the requests of other gateways to this one. */
  void setPeerRequests(LinkFaults faults) {
    peerLink.setRequests(faults);
  }

  /** Puts faults on the datagrams of other gateways to this one. */
  void setDatagrams(LinkFaults faults) {
    peerLink.setDatagrams(faults);
  }

  /** Host that its connections to engines come from. */
  String senderHost() {
    return peerLink.senderHost();
  }

  void kill() throws InterruptedException {
    noteOwnEnd();
    process.kill();
  }

  void terminate() throws InterruptedException {
    noteOwnEnd();
    process.terminate();
  }

  private void noteOwnEnd() throws InterruptedException {
    if (!toEnd && !process.isAlive()) {
      ownEnds.add(name + " ended by itself, exit code " + process.awaitExit(1));
    }
    toEnd = true;
  }

  /** The ends of its processes that were neither killed nor asked to stop; it is ended next. */
  List<String> ownEnds() throws InterruptedException {
    noteOwnEnd();
    return List.copyOf(ownEnds);
  }

  /** How often its processes logged that a duty failed, as by an error in the program. */
  long failedDuties() throws IOException {
    try (InputStream logged = Files.newInputStream(log)) {
      logged.skipNBytes(logBegin);
      BufferedReader lines =
          new BufferedReader(new InputStreamReader(logged, StandardCharsets.UTF_8));
      return lines.lines().filter(line -> line.contains(DUTY_FAILED)).count();
    }
  }

  /** Suspends the process; one that has ended is left alone. */
  void pause() throws IOException, InterruptedException {
    if (process.isAlive()) {
      process.pause();
    }
  }

  /** Resumes the process; one that has ended is left alone. */
  void resume() throws IOException, InterruptedException {
    if (process.isAlive()) {
      process.resume();
    }
  }

  /** Lets the process read its settings again; one that has ended is left alone. */
  void reload() throws IOException, InterruptedException {
    if (process.isAlive()) {
      process.reload();
    }
  }

  @Override
  public void close() throws IOException {
    if (process != null) {
      process.close();
    }
    peerLink.close();
  }
}
