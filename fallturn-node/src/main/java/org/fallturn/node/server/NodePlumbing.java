package org.fallturn.node.server;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import java.util.UUID;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.objectstore.ObjectStore;
import org.fallturn.core.port.table.TableService;
import org.fallturn.node.http.ConnectionTraffic;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.http.MessageAuthenticator;
import org.fallturn.node.http.TlsCertificate;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.metrics.NodeMeters;
import org.fallturn.node.objectstore.HttpObjectStore;
import org.fallturn.node.peers.PeerAuthenticator;
import org.fallturn.node.settings.NodeSettings;
import org.fallturn.node.settings.TlsSettings;
import org.fallturn.node.table.HttpTableService;

/**
 * What every part of a node shares: its identity, the codec, the HTTP clients, the platform's
 * services and the metrics. Immutable after construction; all of it may be used by any thread.
 */
final class NodePlumbing implements AutoCloseable {

  private static final int CLIENT_THREADS = 32;
  private static final int CONNECTIONS_PER_DESTINATION = 2048;
  private static final int QUEUED_PER_DESTINATION = 8192;
  private static final int ID_LENGTH = 12;

  private final NodeId node;
  private final RegionName region;
  private final ZoneName zone;
  private final JsonCodec codec = new JsonCodec();
  private final PrometheusMeterRegistry metrics = NodeMeters.registry();
  private final ConnectionTraffic clientTraffic = new ConnectionTraffic(true);
  private final HttpClient jettyClient;
  private final Optional<TlsCertificate> certificate;
  private final byte[] clusterKey;
  private final Optional<MessageAuthenticator> authenticator;
  private final JsonHttpClient client;
  private final TableService table;
  private final ObjectStore objectStore;

  NodePlumbing(NodeSettings settings) throws Exception {
    node = nodeId(settings.identity().id());
    region = new RegionName(settings.identity().region());
    zone = new ZoneName(settings.identity().zone());
    jettyClient = startClient(settings.identity().outgoingHost(), clientTraffic);
    certificate = certificate(settings.tls());
    clusterKey = ClusterKey.read(settings.identity());
    authenticator = authenticator(clusterKey);
    client = new JsonHttpClient(jettyClient, codec, authenticator);
    table =
        new HttpTableService(
            client, settings.platform().table(), settings.platform().callTimeout());
    objectStore =
        new HttpObjectStore(
            client, settings.platform().objectStore(), settings.platform().callTimeout());
  }

  private static Optional<MessageAuthenticator> authenticator(byte[] clusterKey) {
    if (clusterKey.length == 0) {
      return Optional.empty();
    }
    return Optional.of(new PeerAuthenticator(clusterKey, System::currentTimeMillis));
  }

  private static Optional<TlsCertificate> certificate(TlsSettings tls) throws IOException {
    if (tls.keystoreFile().isEmpty()) {
      return Optional.empty();
    }
    Path keyStore = Path.of(tls.keystoreFile());
    return Optional.of(new TlsCertificate(keyStore, Path.of(tls.keystorePasswordFile())));
  }

  private static NodeId nodeId(String configured) {
    if (!configured.isEmpty()) {
      return new NodeId(configured);
    }
    return new NodeId("node-" + UUID.randomUUID().toString().substring(0, ID_LENGTH));
  }

  private static HttpClient startClient(String outgoingHost, ConnectionTraffic traffic)
      throws Exception {
    QueuedThreadPool threads = new QueuedThreadPool(CLIENT_THREADS);
    threads.setName("http-client");
    threads.setDaemon(true);
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(2);
    connector.setExecutor(threads);
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setMaxConnectionsPerDestination(CONNECTIONS_PER_DESTINATION);
    client.setMaxRequestsQueuedPerDestination(QUEUED_PER_DESTINATION);
    client.setFollowRedirects(false);
    if (!outgoingHost.isEmpty()) {
      client.setBindAddress(new InetSocketAddress(outgoingHost, 0));
    }
    client.addBean(traffic);
    client.start();
    return client;
  }

  NodeId node() {
    return node;
  }

  RegionName region() {
    return region;
  }

  ZoneName zone() {
    return zone;
  }

  byte[] clusterKey() {
    return clusterKey.clone();
  }

  /** The certificate of the callers' and operators' ports, when there is one. */
  Optional<TlsCertificate> certificate() {
    return certificate;
  }

  /** A router that takes only messages of holders of the cluster key, when there is one. */
  HttpRouter newPeerRouter() {
    return new HttpRouter(codec, authenticator);
  }

  JsonCodec codec() {
    return codec;
  }

  JsonHttpClient client() {
    return client;
  }

  ConnectionTraffic clientTraffic() {
    return clientTraffic;
  }

  TableService table() {
    return table;
  }

  ObjectStore objectStore() {
    return objectStore;
  }

  PrometheusMeterRegistry metrics() {
    return metrics;
  }

  @Override
  public void close() throws Exception {
    jettyClient.stop();
    metrics.close();
  }
}
