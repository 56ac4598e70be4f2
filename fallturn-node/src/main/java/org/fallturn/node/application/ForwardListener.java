package org.fallturn.node.application;

import org.eclipse.jetty.http.HttpFields;
import org.fallturn.core.request.AttemptFailure;

/**
 * Receives the parts of one back end's response, in order and on one thread at a time. Either
 * {@link #onEnd} or {@link #onFailure} is the last call.
 */
public interface ForwardListener {

  /**
   * Receives the status line and the headers.
   *
   * @param status HTTP status code
   * @param headers headers of the response
   */
  void onHead(int status, HttpFields headers);

  /**
   * Receives the next bytes of the body. The next read waits for {@link ForwardExchange#resume()}.
   *
   * @param content a copy of the bytes
   */
  void onContent(byte[] content);

  /** Called when the response is complete. */
  void onEnd();

  /** Called when the exchange failed, before or after {@link #onHead}. */
  void onFailure(AttemptFailure failure);
}
