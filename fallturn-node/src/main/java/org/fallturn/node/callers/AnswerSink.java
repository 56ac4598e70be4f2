package org.fallturn.node.callers;

import java.util.List;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.port.engine.TokenChunk.Finish;

/**
 * Gives a caller its answer. Called only within the request's {@link SerialExecutor}. Ends with one
 * of {@link #complete}, {@link #fail} and {@link #abandon}.
 */
interface AnswerSink {

  /** Takes the next tokens. */
  void append(List<String> tokens, Finish finish);

  /** Sends on what was taken; called once for a batch of appends. */
  void flush();

  /** Whether the caller is so far behind that no more should be read for it. */
  boolean isFull();

  /** The answer is whole. */
  void complete();

  /** The answer will not be whole; says so at once. */
  void fail(FallturnException error);

  /** Whether the request goes on when its caller is gone. */
  default boolean survivesCaller() {
    return false;
  }

  /** The caller is gone; ends the exchange without an answer. */
  void abandon();
}
