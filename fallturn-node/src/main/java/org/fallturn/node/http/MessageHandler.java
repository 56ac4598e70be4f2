package org.fallturn.node.http;

import java.util.concurrent.CompletionStage;
import org.fallturn.core.error.FallturnException;

/**
 * Answers one kind of JSON message. Called on a server thread; must not block for long. The stage
 * may complete later, on any thread; a {@link FallturnException}, thrown or as the stage's failure,
 * becomes the error answer of its kind.
 *
 * @param <Q> type of the question
 * @param <A> type of the answer
 */
@FunctionalInterface
public interface MessageHandler<Q, A> {

  /** Starts answering one message. */
  CompletionStage<A> handle(Q question) throws FallturnException;
}
