package org.fallturn.node.callers;

/** The two forms of completion answers. */
enum CompletionStyle {
  /** {@code /v1/completions}. */
  TEXT("cmpl-", "text_completion", "text_completion"),
  /** {@code /v1/chat/completions}. */
  CHAT("chatcmpl-", "chat.completion", "chat.completion.chunk");

  private final String idPrefix;
  private final String wholeObject;
  private final String chunkObject;

  CompletionStyle(String idPrefix, String wholeObject, String chunkObject) {
    this.idPrefix = idPrefix;
    this.wholeObject = wholeObject;
    this.chunkObject = chunkObject;
  }

  /** Start of the answer's id. */
  String idPrefix() {
    return idPrefix;
  }

  /** Type name of an answer in one piece. */
  String wholeObject() {
    return wholeObject;
  }

  /** Type name of one event of a stream. */
  String chunkObject() {
    return chunkObject;
  }
}
