package org.fallturn.rehearsal.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.fallturn.node.http.ErrorBody;

/** The parts of the callers' interface that the load generator writes and reads. */
final class ChatMessages {

  private ChatMessages() {}

  /** Body of a chat completion. */
  record ChatRequest(
      String model,
      List<Message> messages,
      @JsonProperty("max_tokens") int maxTokens,
      boolean stream) {}

  /** One turn of the conversation. */
  record Message(String role, String content) {}

  /** A streamed event or a whole answer; with an error instead when it failed. */
  record ChatAnswer(List<Choice> choices, ErrorBody.Detail error) {}

  /** The one choice of an answer. */
  record Choice(
      Message delta, Message message, @JsonProperty("finish_reason") String finishReason) {}

  /** The prompt that a conversation of one user message becomes. */
  static String prompt(String content) {
    return "user: " + content + "\n";
  }
}
