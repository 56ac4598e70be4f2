package org.fallturn.node.peers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.http.RemoteCallException;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AuthenticatedPeersTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final JsonCodec codec = new JsonCodec();
  private final HttpClient jettyClient = new HttpClient();
  private HttpListener listener;

  @BeforeEach
  void start() throws Exception {
    jettyClient.start();
    HttpRouter router = new HttpRouter(codec, Optional.of(authenticator("secret")));
    router.message("/peer/echo", Echo.class, 1000, CompletableFuture::completedFuture);
    router.message("/open/echo", Echo.class, 1000, CompletableFuture::completedFuture);
    router.document("/peer/list", request -> CompletableFuture.completedFuture(new Echo(1)));
    listener = new HttpListener("peers", new NetworkAddress("127.0.0.1", 0), 8, router);
  }

  @AfterEach
  void stop() throws Exception {
    listener.close();
    jettyClient.stop();
  }

  @Test
  void holderOfKeyIsHeard() throws Exception {
    JsonHttpClient client =
        new JsonHttpClient(jettyClient, codec, Optional.of(authenticator("secret")));

    assertThat(post(client, "/peer/echo")).isEqualTo(new Echo(2));
    assertThat(
            JsonHttpClient.await(
                client.get(listener.address(), "/peer/list?after=%20x", Echo.class, TIMEOUT)))
        .isEqualTo(new Echo(1));
  }

  @Test
  void othersAreRefusedOnPeerPathsOnly() throws Exception {
    JsonHttpClient stranger =
        new JsonHttpClient(jettyClient, codec, Optional.of(authenticator("other")));
    JsonHttpClient unsigned = new JsonHttpClient(jettyClient, codec);

    assertThat(post(unsigned, "/open/echo")).isEqualTo(new Echo(2));
    assertThatThrownBy(() -> post(stranger, "/peer/echo"))
        .isInstanceOfSatisfying(
            RemoteCallException.class,
            refusal -> assertThat(refusal.body()).contains("does not hold the cluster key"));
    assertThatThrownBy(() -> post(unsigned, "/peer/echo"))
        .isInstanceOfSatisfying(
            RemoteCallException.class, refusal -> assertThat(refusal.status()).isEqualTo(401));
  }

  private Echo post(JsonHttpClient client, String path) throws RemoteCallException {
    return JsonHttpClient.await(
        client.post(listener.address(), path, new Echo(2), Echo.class, TIMEOUT));
  }

  private static PeerAuthenticator authenticator(String key) {
    return new PeerAuthenticator(key.getBytes(StandardCharsets.UTF_8), System::currentTimeMillis);
  }

  /** A message. */
  record Echo(int number) {}
}
