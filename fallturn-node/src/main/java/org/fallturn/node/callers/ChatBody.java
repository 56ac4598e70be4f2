package org.fallturn.node.callers;

import com.fasterxml.jackson.annotation.JsonAlias;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.fallturn.core.error.FallturnException;

/**
 * Body of {@code POST /v1/chat/completions}. Fields that this system does not know are ignored.
 *
 * @param model the service called
 * @param messages the conversation so far, oldest first
 * @param maxTokens most tokens of the answer; absent for the default
 * @param stream whether the answer comes as server-sent events
 */
record ChatBody(
    String model,
    List<Message> messages,
    @JsonProperty("max_tokens") @JsonAlias("max_completion_tokens") Integer maxTokens,
    Boolean stream) {

  /**
   * One turn of a conversation.
   *
   * @param role who speaks
   * @param content what is said
   */
  record Message(String role, String content) {}

  /**
   * The call it asks for.
   *
   * @throws FallturnException INVALID_REQUEST that names the field
   */
  CompletionCall toCall() throws FallturnException {
    BodyFields.requireText(model, "model");
    BodyFields.requirePresent(messages, "messages");
    if (messages.isEmpty()) {
      throw BodyFields.invalid("messages", "must not be empty");
    }
    return new CompletionCall(
        CompletionStyle.CHAT, model, prompt(), maxTokens, Boolean.TRUE.equals(stream));
  }

  /** The conversation as the text that engines continue: a line {@code role: content} a message. */
  private String prompt() throws FallturnException {
    StringBuilder prompt = new StringBuilder();
    for (Message message : messages) {
      BodyFields.requirePresent(message, "messages");
      BodyFields.requireText(message.role(), "role");
      BodyFields.requirePresent(message.content(), "content");
      prompt.append(message.role()).append(": ").append(message.content()).append('\n');
    }
    return prompt.toString();
  }
}
