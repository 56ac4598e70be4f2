package org.fallturn.node.application;

import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.fallturn.core.request.AttemptFailure;
import org.fallturn.node.engine.SendTracker;

/**
 * One request to one back end and its response. The response is read with backpressure, one network
 * read at a time: the next read waits for {@link #resume()}. Any thread may call {@link #resume()}
 * and {@link #abort()}.
 */
public final class ForwardExchange implements Response.Listener {

  private static final Runnable NO_DEMAND = () -> {};

  private final Request request;
  private final SendTracker tracker;
  private final ForwardListener listener;
  private final AtomicReference<Runnable> pendingDemand = new AtomicReference<>(NO_DEMAND);

  ForwardExchange(Request request, SendTracker tracker, ForwardListener listener) {
    this.request = request;
    this.tracker = tracker;
    this.listener = listener;
  }

  /** Requests the next read after {@link ForwardListener#onContent}. */
  public void resume() {
    pendingDemand.getAndSet(NO_DEMAND).run();
  }

  /** Aborts the exchange and closes its connection. */
  public void abort() {
    request.abort(new CancellationException("the answer is no longer needed"));
  }

  @Override
  public void onHeaders(Response response) {
    listener.onHead(response.getStatus(), response.getHeaders());
  }

  @Override
  public void onContent(Response response, Content.Chunk chunk, Runnable demand) {
    byte[] content = new byte[chunk.getByteBuffer().remaining()];
    chunk.getByteBuffer().get(content);
    pendingDemand.set(demand);
    listener.onContent(content);
  }

  @Override
  public void onComplete(Result result) {
    if (!result.isFailed()) {
      listener.onEnd();
      return;
    }
    AttemptFailure.Kind kind =
        tracker.mayHaveBeenSent() ? AttemptFailure.Kind.BROKEN : AttemptFailure.Kind.NOT_SENT;
    listener.onFailure(
        new AttemptFailure(kind, "the connection to the back end failed: " + result.getFailure()));
  }
}
