package org.fallturn.node.callers;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.fallturn.core.error.FallturnException;

/**
 * Body of {@code POST /v1/completions}. Fields that this system does not know are ignored.
 *
 * @param model the service called
 * @param prompt the text
 * @param maxTokens most tokens of the answer; absent for the default
 * @param stream whether the answer comes as server-sent events
 */
record CompletionBody(
    String model, String prompt, @JsonProperty("max_tokens") Integer maxTokens, Boolean stream) {

  /**
   * The call it asks for.
   *
   * @throws FallturnException INVALID_REQUEST that names the field
   */
  CompletionCall toCall() throws FallturnException {
    BodyFields.requireText(model, "model");
    BodyFields.requirePresent(prompt, "prompt");
    return new CompletionCall(
        CompletionStyle.TEXT, model, prompt, maxTokens, Boolean.TRUE.equals(stream));
  }
}
