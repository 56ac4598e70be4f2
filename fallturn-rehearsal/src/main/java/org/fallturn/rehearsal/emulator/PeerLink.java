package org.fallturn.rehearsal.emulator;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.rehearsal.faults.FaultProxy;
import org.fallturn.rehearsal.faults.LinkFaults;

/**
 * The link by which the other gateways reach one gateway, on which faults can be put. Datagrams and
 * requests go to one address each. Thread-safe.
 */
public final class PeerLink implements AutoCloseable {

  private static final String HOSTS = "127.0.0.";
  private static final String LINK_HOSTS = "127.0.1.";
  private static final String SENDER_HOSTS = "127.0.2.";
  private static final int FIRST_HOST = 2;
  private static final String REQUESTS = "requests";
  private static final String DATAGRAMS = "datagrams";

  private final FaultProxy proxy = new FaultProxy(1);
  private final NetworkAddress gateway;
  private final NetworkAddress advertised;
  private final String senderHost;

  /**
   * Opens a link to a gateway with a host of its own.
   *
   * @param number of the gateway, from 0
   * @param port the one at which all gateways find each other, see {@link #freePort}
   */
  public PeerLink(int number, int port) throws IOException {
    int host = number + FIRST_HOST;
    this.gateway = new NetworkAddress(HOSTS + host, port);
    this.advertised = new NetworkAddress(LINK_HOSTS + host, port);
    this.senderHost = SENDER_HOSTS + host;
    proxy.openTcp(REQUESTS, advertised, gateway);
    proxy.openUdp(DATAGRAMS, advertised, gateway);
  }

  /** A port that is free on loopback. */
  public static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }

  /** Where the gateway listens. */
  public NetworkAddress gateway() {
    return gateway;
  }

  /** Where others reach it. */
  public NetworkAddress advertised() {
    return advertised;
  }

  /**
   * Host for the gateway's connections to engines, which tells them who sends. It is none that
   * anything listens at, since a connection may take any port of its host.
   */
  public String senderHost() {
    return senderHost;
  }

  /** Puts faults on requests to the gateway; datagrams go on. */
  public void setRequests(LinkFaults faults) {
    proxy.set(REQUESTS, faults);
  }

  /** Puts faults on all that the other gateways send to the gateway. */
  public void setAll(LinkFaults faults) {
    setRequests(faults);
    setDatagrams(faults);
  }

  /** Puts faults on datagrams to the gateway; requests go on. */
  public void setDatagrams(LinkFaults faults) {
    proxy.set(DATAGRAMS, faults);
  }

  @Override
  public void close() throws IOException {
    proxy.close();
  }
}
