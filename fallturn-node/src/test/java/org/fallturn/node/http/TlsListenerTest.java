package org.fallturn.node.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.X509TrustManager;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TlsListenerTest {

  @TempDir private Path directory;

  @Test
  void newCertificateIsServedWithoutRestart() throws Exception {
    Path keyStore = directory.resolve("node.p12");
    Files.move(TestKeyStore.create(directory, "first"), keyStore);
    HttpRouter router = new HttpRouter(new JsonCodec());
    router.document("/hello", request -> CompletableFuture.completedFuture(Map.of()));
    TlsCertificate certificate = new TlsCertificate(keyStore, TestKeyStore.PASSWORD, 1);
    ListenerLimits limits = new ListenerLimits(8, 10, 8192, Duration.ofSeconds(60));
    try (HttpListener listener =
        new HttpListener(
            "tls", new NetworkAddress("127.0.0.1", 0), limits, Optional.of(certificate), router)) {
      assertThat(servedName(listener.address())).isEqualTo("CN=first");

      Files.move(
          TestKeyStore.create(directory, "second"), keyStore, StandardCopyOption.REPLACE_EXISTING);

      await()
          .atMost(Duration.ofSeconds(60))
          .until(() -> servedName(listener.address()).equals("CN=second"));
    }
  }

  private static String servedName(NetworkAddress address) throws Exception {
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(null, new X509TrustManager[] {new TrustAll()}, null);
    try (SSLSocket socket =
        (SSLSocket) context.getSocketFactory().createSocket(address.host(), address.port())) {
      socket.startHandshake();
      X509Certificate served = (X509Certificate) socket.getSession().getPeerCertificates()[0];
      return served.getSubjectX500Principal().getName();
    }
  }

  /** Accepts any certificate; the test looks at it itself. */
  private static final class TrustAll implements X509TrustManager {
    @Override
    public void checkClientTrusted(X509Certificate[] chain, String type) {
      // Every certificate is accepted.
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String type) {
      // Every certificate is accepted.
    }

    @Override
    public X509Certificate[] getAcceptedIssuers() {
      return new X509Certificate[0];
    }
  }
}
