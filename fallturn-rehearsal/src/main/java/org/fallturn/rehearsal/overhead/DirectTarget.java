package org.fallturn.rehearsal.overhead;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.placement.EngineTarget;
import org.fallturn.core.port.engine.GenerateRequest;
import org.fallturn.core.port.engine.KvSource;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.PrefillRequest;
import org.fallturn.core.port.engine.TokenChunk;
import org.fallturn.core.request.AttemptFailure;
import org.fallturn.node.engine.EngineClient;
import org.fallturn.node.engine.EngineStream;
import org.fallturn.node.engine.EngineStreamListener;
import org.fallturn.rehearsal.fleet.FleetConfiguration;

/** Goes straight to the engines: prefill on one, decode on another, in turn. */
final class DirectTarget implements CompletionTarget {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final ModelName MODEL = new ModelName(FleetConfiguration.MODEL);

  private final EngineClient engines;
  private final EngineTarget prefill;
  private final List<EngineTarget> decoders;
  private final AtomicLong number = new AtomicLong();

  DirectTarget(EngineClient engines, EngineTarget prefill, List<EngineTarget> decoders) {
    this.engines = engines;
    this.prefill = prefill;
    this.decoders = List.copyOf(decoders);
  }

  @Override
  public CompletableFuture<CompletionTiming> complete(String prompt, int maxTokens) {
    long turn = number.incrementAndGet();
    RequestId id = new RequestId("direct-" + turn);
    EngineTarget decode = decoders.get((int) (turn % decoders.size()));
    PrefillRequest request = new PrefillRequest(id, "direct", MODEL, "", prompt, Urgency.NORMAL);
    CompletableFuture<CompletionTiming> result = new CompletableFuture<>();
    engines
        .prefill(prefill, request, TIMEOUT)
        .answer()
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                result.completeExceptionally(failure);
              } else {
                generate(decode, generateRequest(id, prompt, maxTokens, answer), result);
              }
            });
    return result;
  }

  private GenerateRequest generateRequest(
      RequestId id, String prompt, int maxTokens, PrefillAnswer answer) {
    KvSource source = new KvSource(prefill.address(), answer.kvHandle());
    return new GenerateRequest(
        id, "direct", MODEL, "", prompt, maxTokens, 0, Urgency.NORMAL, Optional.of(source));
  }

  private void generate(
      EngineTarget decode, GenerateRequest request, CompletableFuture<CompletionTiming> result) {
    AnswerCheck check = new AnswerCheck(request.prompt(), request.maxTokens());
    Reader reader = new Reader(check, result);
    reader.stream.complete(engines.generate(decode, request, reader));
  }

  /** Reads one stream without a pause. */
  private static final class Reader implements EngineStreamListener {

    private final AnswerCheck check;
    private final CompletableFuture<CompletionTiming> result;
    private final CompletableFuture<EngineStream> stream = new CompletableFuture<>();

    Reader(AnswerCheck check, CompletableFuture<CompletionTiming> result) {
      this.check = check;
      this.result = result;
    }

    @Override
    public void onChunk(TokenChunk chunk) {
      check.append(String.join("", chunk.tokens()));
    }

    @Override
    public void onReadDone() {
      stream.thenAccept(EngineStream::resume);
    }

    @Override
    public void onEnd() {
      check.end(result);
    }

    @Override
    public void onFailure(AttemptFailure failure) {
      result.completeExceptionally(new IllegalStateException(failure.message()));
    }
  }
}
