package org.fallturn.rehearsal.faults;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.fallturn.core.domain.NetworkAddress;

/**
 * Links by name, and the faults on them. A link stands in front of one listening port of one
 * process; faults hold for all its callers or for those from one source host. Thread-safe.
 */
public final class FaultProxy implements AutoCloseable {

  private static final int MAX_LINKS = 1_024;

  private final long seed;
  private final Optional<String> sourceHost;
  private final FaultTable faults = new FaultTable();
  private final Map<String, TcpFaultLink> tcpLinks = new ConcurrentHashMap<>();
  private final Map<String, UdpFaultLink> udpLinks = new ConcurrentHashMap<>();

  /** A proxy without links; the seed drives loss, duplication and reordering. */
  public FaultProxy(long seed) {
    this(seed, Optional.empty());
  }

  /**
   * A proxy without links.
   *
   * @param sourceHost host that its TCP connections come from, which tells it from others
   */
  public FaultProxy(long seed, Optional<String> sourceHost) {
    this.seed = seed;
    this.sourceHost = sourceHost;
  }

  /** Opens a TCP link and gives the address that callers use in place of the target. */
  public synchronized NetworkAddress openTcp(
      String link, NetworkAddress listen, NetworkAddress target) throws IOException {
    checkRoom(link);
    TcpFaultLink opened = new TcpFaultLink(link, listen, target, sourceHost, faults);
    tcpLinks.put(link, opened);
    return opened.address();
  }

  /** Opens a UDP link and gives the address that senders use in place of the target. */
  public synchronized NetworkAddress openUdp(
      String link, NetworkAddress listen, NetworkAddress target) throws IOException {
    checkRoom(link);
    UdpFaultLink opened = new UdpFaultLink(link, listen, target, faults, seed + link.hashCode());
    udpLinks.put(link, opened);
    return opened.address();
  }

  private void checkRoom(String link) {
    if (tcpLinks.containsKey(link) || udpLinks.containsKey(link)) {
      throw new IllegalArgumentException("link exists already: " + link);
    }
    if (tcpLinks.size() + udpLinks.size() >= MAX_LINKS) {
      throw new IllegalArgumentException("too many links");
    }
  }

  /** Points a link at another target; open connections stay where they are. */
  public synchronized void retarget(String link, NetworkAddress target) {
    if (tcpLinks.containsKey(link)) {
      tcpLinks.get(link).retarget(target);
    } else if (udpLinks.containsKey(link)) {
      udpLinks.get(link).retarget(target);
    } else {
      throw new IllegalArgumentException("no such link: " + link);
    }
  }

  /** Refuses connections to a TCP link from now on; open ones live on. */
  public synchronized void stopAccepting(String link) throws IOException {
    tcpLinks.get(link).stopAccepting();
  }

  /** Sets what is wrong with a link for all its callers. */
  public void set(String link, LinkFaults next) {
    faults.set(link, next);
    applyFaults();
  }

  /** Sets what is wrong with a link for the callers from one host. */
  public void set(String link, String sourceHost, LinkFaults next) {
    faults.set(link, sourceHost, next);
    applyFaults();
  }

  /** Takes every fault away. */
  public void heal() {
    faults.heal();
  }

  private void applyFaults() {
    tcpLinks.values().forEach(TcpFaultLink::applyFaults);
  }

  /** Closes one link and resets its connections; a link that does not exist is no error. */
  public synchronized void closeLink(String link) throws IOException {
    TcpFaultLink tcp = tcpLinks.remove(link);
    if (tcp != null) {
      tcp.close();
    }
    UdpFaultLink udp = udpLinks.remove(link);
    if (udp != null) {
      udp.close();
    }
  }

  @Override
  public synchronized void close() throws IOException {
    for (String link : tcpLinks.keySet().toArray(String[]::new)) {
      closeLink(link);
    }
    for (String link : udpLinks.keySet().toArray(String[]::new)) {
      closeLink(link);
    }
  }
}
