package org.fallturn.node.gateway;

import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Skips the interim answers (1xx) before an answer, of which it keeps nothing. Without it the HTTP
 * client takes one for the answer, but waits for another one to end the request with, and then
 * reads nothing more.
 *
 * <p>Invariant: a request whose interim answers do not end fails. The client keeps something for
 * each of them until the answer has come.
 */
final class InterimAnswerHandler extends EarlyHintsProtocolHandler {

  private static final String NAME = "interim";

  /** Sound servers send one each few seconds, and a few before. */
  private static final int MAX_INTERIM_ANSWERS = 64;

  private static final String COUNT = InterimAnswerHandler.class.getName();

  @Override
  public String getName() {
    return NAME;
  }

  /** A switch of protocols, which nobody asks for, is not followed by an answer. */
  @Override
  public boolean accept(Request request, Response response) {
    int status = response.getStatus();
    boolean interim =
        HttpStatus.isInformational(status) && status != HttpStatus.SWITCHING_PROTOCOLS_101;
    if (interim) {
      count(request, response);
    }
    return interim;
  }

  private static void count(Request request, Response response) {
    int before = request.getAttributes().get(COUNT) instanceof Integer count ? count : 0;
    request.attribute(COUNT, before + 1);
    if (before >= MAX_INTERIM_ANSWERS) {
      response.abort(new IllegalStateException("interim answers do not end"));
    }
  }

  @Override
  public Response.Listener getResponseListener() {
    return new Skipping(super.getResponseListener());
  }

  /** Keeps no field of the head. */
  private record Skipping(Response.Listener next) implements Response.Listener {

    @Override
    public boolean onHeader(Response response, HttpField field) {
      return false;
    }

    @Override
    public void onSuccess(Response response) {
      next.onSuccess(response);
    }

    @Override
    public void onFailure(Response response, Throwable failure) {
      next.onFailure(response, failure);
    }

    @Override
    public void onComplete(Result result) {
      next.onComplete(result);
    }
  }
}
