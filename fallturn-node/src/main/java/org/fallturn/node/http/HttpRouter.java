package org.fallturn.node.http;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends each request to the handler of its method and path. A path that ends in a slash is a
 * prefix; the longest matching one wins. A route may be added while the server runs; until then its
 * path answers NOT_FOUND.
 */
public final class HttpRouter extends Handler.Abstract {

  private static final Logger LOG = LoggerFactory.getLogger(HttpRouter.class);
  private static final String NO_REQUEST = "";
  private static final byte[] NO_BODY = {};

  private final JsonCodec codec;
  private final HttpAnswers answers;
  private final Map<String, RouteHandler> exactRoutes = new ConcurrentHashMap<>();
  private final Map<String, RouteHandler> prefixRoutes = new ConcurrentHashMap<>();

  private final Optional<MessageAuthenticator> authenticator;

  /** A router without routes. */
  public HttpRouter(JsonCodec codec) {
    this(codec, Optional.empty());
  }

  /** A router without routes that verifies messages and documents below the peers' paths. */
  public HttpRouter(JsonCodec codec, Optional<MessageAuthenticator> authenticator) {
    this.authenticator = authenticator;
    this.codec = codec;
    this.answers = new HttpAnswers(codec);
  }

  /** Adds a route; a path that ends in a slash stands for everything below it. */
  public HttpRouter route(String method, String path, RouteHandler handler) {
    Map<String, RouteHandler> routes = path.endsWith("/") ? prefixRoutes : exactRoutes;
    if (routes.putIfAbsent(method + " " + path, handler) != null) {
      throw new IllegalStateException("route exists already: " + method + " " + path);
    }
    return this;
  }

  /** Adds a POST route that reads a JSON message of bounded size and writes the JSON answer. */
  public <Q, A> HttpRouter message(
      String path, Class<Q> type, int maxBytes, MessageHandler<Q, A> handler) {
    return route(
        "POST",
        path,
        (request, response, callback) ->
            answer(
                () -> handler.handle(codec.decode(verified(request, maxBytes), type)),
                response,
                callback));
  }

  /** Adds a GET route that writes a JSON answer. */
  public <A> HttpRouter document(String path, MessageHandler<Request, A> handler) {
    return route(
        "GET",
        path,
        (request, response, callback) -> {
          verify(request, NO_BODY);
          answer(() -> handler.handle(request), response, callback);
        });
  }

  private byte[] verified(Request request, int maxBytes) throws FallturnException {
    byte[] body = read(request, maxBytes);
    verify(request, body);
    return body;
  }

  private void verify(Request request, byte[] body) throws FallturnException {
    String path = request.getHttpURI().getPathQuery();
    if (authenticator.isPresent() && path.startsWith(MessageAuthenticator.PEER_PATHS)) {
      String proof = request.getHeaders().get(MessageAuthenticator.HEADER);
      authenticator.get().verify(path, proof, body);
    }
  }

  /**
   * Reads a request's body whole, blocking the server thread.
   *
   * @throws FallturnException TOO_LARGE past {@code maxBytes}, INVALID_REQUEST when it breaks off
   */
  public static byte[] read(Request request, int maxBytes) throws FallturnException {
    if (request.getLength() > maxBytes) {
      throw tooLarge(maxBytes);
    }
    try (var input = Content.Source.asInputStream(request)) {
      byte[] body = input.readNBytes(maxBytes + 1);
      if (body.length > maxBytes) {
        throw tooLarge(maxBytes);
      }
      return body;
    } catch (IOException e) {
      throw new FallturnException(ErrorKind.INVALID_REQUEST, "the body broke off", e);
    }
  }

  private static FallturnException tooLarge(int maxBytes) {
    return new FallturnException(
        ErrorKind.TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    RouteHandler handler = find(request.getMethod(), Request.getPathInContext(request));
    try {
      if (handler == null) {
        throw new FallturnException(
            ErrorKind.NOT_FOUND,
            "no such path: " + request.getMethod() + " " + Request.getPathInContext(request));
      }
      handler.handle(request, response, callback);
    } catch (Exception e) {
      fail(e, response, callback);
    }
    return true;
  }

  private RouteHandler find(String method, String path) {
    RouteHandler exact = exactRoutes.get(method + " " + path);
    if (exact != null) {
      return exact;
    }
    for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
      RouteHandler prefix = prefixRoutes.get(method + " " + path.substring(0, slash + 1));
      if (prefix != null) {
        return prefix;
      }
    }
    return null;
  }

  private <A> void answer(Question<A> question, Response response, Callback callback)
      throws Exception {
    question
        .ask()
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                fail(failure, response, callback);
              } else {
                answers.json(response, 200, answer, callback);
              }
            });
  }

  private void fail(Throwable failure, Response response, Callback callback) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof FallturnException known) {
      answers.error(response, known, NO_REQUEST, callback);
    } else if (cause instanceof MalformedMessageException malformed) {
      FallturnException error =
          new FallturnException(ErrorKind.INVALID_REQUEST, malformed.getMessage());
      answers.error(response, error, NO_REQUEST, callback);
    } else {
      LOG.error("http: A handler failed.", cause);
      FallturnException error = new FallturnException(ErrorKind.INTERNAL, "internal error");
      answers.error(response, error, NO_REQUEST, callback);
    }
  }

  /** Something that starts an answer. */
  private interface Question<A> {
    CompletionStage<A> ask() throws Exception;
  }
}
