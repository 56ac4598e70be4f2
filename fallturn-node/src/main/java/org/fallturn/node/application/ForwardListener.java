package org.fallturn.node.application;

import org.eclipse.jetty.http.HttpFields;
import org.fallturn.core.request.AttemptFailure;

/**
 * Hears of one back end's answer, in order, on one thread at a time. After {@link #onEnd} or {@link
 * #onFailure} nothing follows.
 */
public interface ForwardListener {

  /** The answer's status and headers. */
  void onHead(int status, HttpFields headers);

  /**
   * The next bytes of the answer, a copy. The next read waits for {@link ForwardExchange#resume()}.
   */
  void onContent(byte[] content);

  /** The answer is whole. */
  void onEnd();

  /** The answer failed, before or after its head. */
  void onFailure(AttemptFailure failure);
}
