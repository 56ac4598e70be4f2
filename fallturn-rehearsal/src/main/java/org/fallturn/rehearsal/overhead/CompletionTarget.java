package org.fallturn.rehearsal.overhead;

import java.util.concurrent.CompletableFuture;

/** Something that completes prompts. Thread-safe, never blocks. */
interface CompletionTarget {

  /** Asks for a streamed completion; the future fails unless the answer is whole and right. */
  CompletableFuture<CompletionTiming> complete(String prompt, int maxTokens);
}
