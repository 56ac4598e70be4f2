package org.fallturn.node.engine;

import org.fallturn.core.port.engine.TokenChunk;
import org.fallturn.core.request.AttemptFailure;

/**
 * Hears of one stream of tokens, in order, on one thread at a time. After {@link #onEnd} or {@link
 * #onFailure} nothing follows.
 */
public interface EngineStreamListener {

  /** The next chunk, not yet checked against the request. */
  void onChunk(TokenChunk chunk);

  /**
   * All chunks of one network read were given. The next read waits until the stream is told to
   * {@link EngineStream#resume()}.
   */
  void onReadDone();

  /** The stream ended without a failure. */
  void onEnd();

  /** The stream failed. */
  void onFailure(AttemptFailure failure);
}
