package org.fallturn.node.gateway;

import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Skips the interim answers (1xx) before an answer. Without it the HTTP client takes one for the
 * answer, but waits for another one to end the request with, and then reads nothing more.
 */
final class InterimAnswerHandler extends EarlyHintsProtocolHandler {

  private static final String NAME = "interim";

  @Override
  public String getName() {
    return NAME;
  }

  /** A switch of protocols, which nobody asks for, is not followed by an answer. */
  @Override
  public boolean accept(Request request, Response response) {
    int status = response.getStatus();
    return HttpStatus.isInformational(status) && status != HttpStatus.SWITCHING_PROTOCOLS_101;
  }
}
