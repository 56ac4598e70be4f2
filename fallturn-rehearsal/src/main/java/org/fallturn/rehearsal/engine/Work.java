package org.fallturn.rehearsal.engine;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fallturn.core.port.engine.EngineRefusal.Reason;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.TokenChunk.Finish;
import org.fallturn.rehearsal.engine.EngineJournal.End;

/** What hangs on a sequence outside the batch. Used on the engine's thread only. */
interface Work {

  /** The sequence generated a token or is done. */
  void progressed(Sequence sequence);

  /** The work ends before it is done. */
  void ended(Sequence sequence, End how);

  /** Blocks of the prompt, to be cached once it is computed. */
  List<Long> promptBlocks();

  /** A prefill that answers with a handle. */
  record Prefill(
      CompletableFuture<PrefillAnswer> answer,
      KvExport export,
      int cachedTokens,
      List<Long> promptBlocks,
      JournalKeeper.StartedRequest entry)
      implements Work {

    @Override
    public void progressed(Sequence sequence) {
      entry.ended(End.FINISHED, 0);
      answer.complete(
          new PrefillAnswer(
              sequence.requestId(),
              export.kvHandle(),
              export.promptTokens(),
              cachedTokens,
              export.kvBytes()));
    }

    @Override
    public void ended(Sequence sequence, End how) {
      entry.ended(how, 0);
      answer.completeExceptionally(
          new EngineRefusedException(Reason.NOT_SERVING, "the prefill ended: " + how));
    }
  }

  /** A stream of tokens. */
  record Generate(
      TokenStream stream,
      int length,
      int maxTokens,
      List<Long> promptBlocks,
      JournalKeeper.StartedRequest entry)
      implements Work {

    @Override
    public void progressed(Sequence sequence) {
      advanceTo(sequence.generated());
    }

    /** Tokens up to an index are generated. */
    void advanceTo(int generated) {
      Finish finish = Finish.NONE;
      if (generated >= length) {
        finish = length < maxTokens ? Finish.STOP : Finish.LENGTH;
        entry.ended(End.FINISHED, generated);
      }
      stream.advance(generated, finish);
    }

    @Override
    public void ended(Sequence sequence, End how) {
      entry.ended(how, sequence.generated());
      stream.cut();
    }
  }
}
