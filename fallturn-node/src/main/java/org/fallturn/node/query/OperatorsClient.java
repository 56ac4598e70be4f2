package org.fallturn.node.query;

import java.io.FileInputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.fallturn.core.error.Outcome;
import org.fallturn.node.http.ErrorBody;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;
import org.fallturn.node.operators.StatementAnswer;
import org.fallturn.node.operators.StatementRequest;

/** Sends statements to a node's operators' port. Used by one thread at a time. */
final class OperatorsClient implements AutoCloseable {

  private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
  private static final int OK_STATUS = 200;

  private final JsonCodec codec = new JsonCodec();
  private final QueryOptions options;
  private final HttpClient client;

  OperatorsClient(QueryOptions options) throws Exception {
    this.options = options;
    ClientConnector connector = new ClientConnector();
    SslContextFactory.Client tls = new SslContextFactory.Client();
    if (options.caFile().isPresent()) {
      tls.setTrustStore(trustStore(options.caFile().get()));
      tls.setEndpointIdentificationAlgorithm(null);
    }
    connector.setSslContextFactory(tls);
    client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.start();
  }

  private static KeyStore trustStore(String file) throws GeneralSecurityException, IOException {
    KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
    store.load(null, null);
    try (FileInputStream input = new FileInputStream(file)) {
      int index = 0;
      for (Certificate certificate :
          CertificateFactory.getInstance("X.509").generateCertificates(input)) {
        store.setCertificateEntry("authority-" + index++, certificate);
      }
    }
    return store;
  }

  StatementAnswer send(String statement) throws QueryFailedException {
    StatementRequest body =
        new StatementRequest(
            statement,
            options.expectedVersion(),
            OptionalLong.of(options.waitInForce().toMillis()));
    Request request =
        client
            .newRequest(options.address().resolve(StatementRequest.PATH))
            .method(HttpMethod.POST)
            .timeout(options.timeout().toMillis(), TimeUnit.MILLISECONDS)
            .headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + options.key()))
            .body(new BytesRequestContent("application/json", codec.encode(body)));
    return read(await(request));
  }

  private ContentResponse await(Request request) throws QueryFailedException {
    try {
      return new CompletableResponseListener(request, MAX_ANSWER_BYTES).send().get();
    } catch (ExecutionException e) {
      throw noAnswer(e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw noAnswer(e);
    }
  }

  private QueryFailedException noAnswer(Throwable cause) {
    if (cause instanceof ConnectException) {
      return new QueryFailedException(
          "nothing listens at " + options.address(), Outcome.NOT_RUN, cause);
    }
    String reason = cause instanceof TimeoutException ? "timed out" : String.valueOf(cause);
    return new QueryFailedException(
        "no answer from " + options.address() + ": " + reason, Outcome.OUTCOME_UNKNOWN, cause);
  }

  private StatementAnswer read(ContentResponse response) throws QueryFailedException {
    byte[] content = response.getContent();
    try {
      if (response.getStatus() == OK_STATUS) {
        return codec.decode(content, StatementAnswer.class);
      }
      ErrorBody.Detail error = codec.decode(content, ErrorBody.class).error();
      throw new QueryFailedException(error.kind() + ": " + error.message(), error.outcome(), null);
    } catch (MalformedMessageException e) {
      String text = new String(content, StandardCharsets.UTF_8);
      throw new QueryFailedException(
          "answer " + response.getStatus() + " cannot be read: " + text,
          Outcome.OUTCOME_UNKNOWN,
          e);
    }
  }

  @Override
  public void close() throws Exception {
    client.stop();
  }
}
