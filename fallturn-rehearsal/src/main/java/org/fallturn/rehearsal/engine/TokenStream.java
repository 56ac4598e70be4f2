package org.fallturn.rehearsal.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.port.engine.TokenChunk;
import org.fallturn.core.port.engine.TokenChunk.Finish;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.DeterministicTokens;
import org.fallturn.rehearsal.StandInAnswers;

/**
 * One answer as server-sent events. At most one write is under way; tokens that are generated
 * meanwhile wait as a mere count, so a slow reader holds up neither engine nor memory. Any thread
 * may call.
 */
final class TokenStream {

  private static final int MAX_TOKENS_PER_CHUNK = 256;
  private static final byte[] PREFIX = "data: ".getBytes(StandardCharsets.UTF_8);
  private static final byte[] SUFFIX = "\n\n".getBytes(StandardCharsets.UTF_8);

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final JsonCodec codec;
  private final RequestId requestId;
  private final DeterministicTokens tokens;
  private final int startOffset;
  private final int tokensPerChunk;
  private Runnable callerGone = () -> {};
  private int sent;
  private int ready;
  private Finish finish = Finish.NONE;
  private boolean writing;
  private boolean ended;

  TokenStream(
      Request request,
      Response response,
      Callback callback,
      JsonCodec codec,
      RequestId requestId,
      DeterministicTokens tokens,
      int startOffset,
      int tokensPerChunk) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.codec = codec;
    this.requestId = requestId;
    this.tokens = tokens;
    this.startOffset = startOffset;
    this.tokensPerChunk = tokensPerChunk;
    this.sent = startOffset;
    this.ready = startOffset;
  }

  /** Sends the headers, which tells the caller that the engine took the request. */
  synchronized void open(Runnable whenCallerIsGone) {
    callerGone = whenCallerIsGone;
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
    response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    writing = true;
    response.write(false, BufferUtil.EMPTY_BUFFER, Callback.from(this::written, this::failed));
  }

  /** Tokens up to an index are generated. */
  synchronized void advance(int generated, Finish how) {
    ready = generated;
    finish = how;
    writeNext();
  }

  /** Breaks the stream off. */
  synchronized void cut() {
    if (!ended) {
      ended = true;
      StandInAnswers.cut(request, response, callback);
    }
  }

  private synchronized void written() {
    writing = false;
    writeNext();
  }

  private void failed(Throwable failure) {
    Runnable gone;
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      gone = callerGone;
    }
    callback.failed(failure);
    gone.run();
  }

  private void writeNext() {
    if (writing || ended || !worthSending()) {
      return;
    }
    int count = Math.min(ready - sent, MAX_TOKENS_PER_CHUNK);
    boolean last = finish != Finish.NONE && sent + count == ready;
    TokenChunk chunk =
        new TokenChunk(requestId, sent, tokens.tokens(sent, count), last ? finish : Finish.NONE);
    sent += count;
    ended = last;
    writing = true;
    Callback next = last ? callback : Callback.from(this::written, this::failed);
    response.write(last, encode(chunk), next);
  }

  private boolean worthSending() {
    if (finish != Finish.NONE) {
      return true;
    }
    int count = ready - sent;
    boolean first = sent == startOffset;
    return count >= tokensPerChunk || first && count > 0;
  }

  private ByteBuffer encode(TokenChunk chunk) {
    ByteArrayOutputStream event = new ByteArrayOutputStream();
    event.writeBytes(PREFIX);
    event.writeBytes(codec.encode(chunk));
    event.writeBytes(SUFFIX);
    return ByteBuffer.wrap(event.toByteArray());
  }
}
