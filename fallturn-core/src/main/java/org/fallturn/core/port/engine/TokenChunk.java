package org.fallturn.core.port.engine;

import java.util.List;
import org.fallturn.core.domain.RequestId;

/**
 * A part of a generated answer. Chunks of one stream follow each other without gap: the offset of
 * each is the offset of the one before plus its number of tokens.
 *
 * @param requestId echo of the request the tokens belong to
 * @param offset index of the first token of this chunk in the whole answer
 * @param tokens the tokens as text; the answer is their plain concatenation
 * @param finish why the answer ends with this chunk, or NONE when more follow
 */
public record TokenChunk(RequestId requestId, int offset, List<String> tokens, Finish finish) {

  /** A private copy of the tokens. */
  public TokenChunk {
    tokens = List.copyOf(tokens);
  }

  /** Why an answer ends. */
  public enum Finish {
    /** It does not end here. */
    NONE,
    /** The model ended it. */
    STOP,
    /** The token limit was reached. */
    LENGTH
  }
}
