package org.fallturn.node.callers;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.port.engine.TokenChunk.Finish;

/**
 * Writes one request's answer in OpenAI's form. The parts that stay the same in every event are
 * encoded once. Not thread-safe.
 */
final class CompletionFormat {

  private static final byte[] EVENT_START = bytes("data: ");
  private static final byte[] EVENT_END = bytes("\n\n");
  private static final byte[] DONE = bytes("data: [DONE]\n\n");
  private static final byte[] ERROR_START = bytes("event: error\ndata: ");
  private static final byte[] NO_FINISH = bytes("null");

  private final CompletionStyle style;
  private final String head;
  private final byte[] eventHead;
  private final byte[] eventMiddle;
  private final byte[] eventTail;

  CompletionFormat(
      CompletionStyle style, RequestId requestId, ServiceName service, long createdSeconds) {
    this.style = style;
    this.head =
        "\"id\":\""
            + style.idPrefix()
            + quote(requestId.value())
            + "\",\"created\":"
            + createdSeconds
            + ",\"model\":\""
            + quote(service.value())
            + "\",\"object\":\"";
    boolean chat = style == CompletionStyle.CHAT;
    String textStart = chat ? "\"delta\":{\"content\":\"" : "\"text\":\"";
    String textEnd = chat ? "\"}" : "\"";
    this.eventHead =
        bytes("{" + head + style.chunkObject() + "\",\"choices\":[{\"index\":0," + textStart);
    this.eventMiddle = bytes(textEnd + ",\"finish_reason\":");
    this.eventTail = bytes("}]}");
  }

  /** Appends one event with the next tokens. */
  void appendEvent(ByteArrayOutputStream out, List<String> tokens, Finish finish) {
    out.writeBytes(EVENT_START);
    out.writeBytes(eventHead);
    for (String token : tokens) {
      out.writeBytes(JsonStringEncoder.getInstance().quoteAsUTF8(token));
    }
    out.writeBytes(eventMiddle);
    out.writeBytes(finish == Finish.NONE ? NO_FINISH : bytes(finishText(finish)));
    out.writeBytes(eventTail);
    out.writeBytes(EVENT_END);
  }

  /** Appends the mark that the answer was whole. */
  static void appendDone(ByteArrayOutputStream out) {
    out.writeBytes(DONE);
  }

  /** Appends an error as the last event of a stream that will not be whole. */
  static void appendError(ByteArrayOutputStream out, byte[] errorBody) {
    out.writeBytes(ERROR_START);
    out.writeBytes(errorBody);
    out.writeBytes(EVENT_END);
  }

  /** The answer in one piece. */
  byte[] whole(String text, Finish finish, int promptTokens, int completionTokens) {
    String content =
        style == CompletionStyle.CHAT
            ? "\"message\":{\"role\":\"assistant\",\"content\":\"" + quote(text) + "\"}"
            : "\"text\":\"" + quote(text) + "\"";
    return bytes(
        "{"
            + head
            + style.wholeObject()
            + "\",\"choices\":[{\"index\":0,"
            + content
            + ",\"finish_reason\":"
            + finishText(finish)
            + "}],\"usage\":{\"prompt_tokens\":"
            + promptTokens
            + ",\"completion_tokens\":"
            + completionTokens
            + ",\"total_tokens\":"
            + (promptTokens + completionTokens)
            + "}}");
  }

  private static String finishText(Finish finish) {
    return finish == Finish.LENGTH ? "\"length\"" : "\"stop\"";
  }

  private static String quote(String text) {
    return new String(JsonStringEncoder.getInstance().quoteAsString(text));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
