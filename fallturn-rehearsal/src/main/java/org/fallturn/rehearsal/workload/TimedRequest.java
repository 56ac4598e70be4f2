package org.fallturn.rehearsal.workload;

import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.TenantName;

/**
 * One request of a run.
 *
 * @param index its number in the run, from 0
 * @param arrivalNanos when the client sends it, since the start of the run
 * @param traffic its class
 * @param tenant who sends it
 * @param model the model it asks for
 * @param prefix which shared prefix it starts with
 * @param promptTokens tokens of the whole prompt
 * @param outputTokens tokens of the whole answer
 */
public record TimedRequest(
    long index,
    long arrivalNanos,
    TrafficClass traffic,
    TenantName tenant,
    ModelName model,
    int prefix,
    int promptTokens,
    int outputTokens) {
  /** Tokens at the start of the prompt that other requests share. */
  public int sharedTokens() {
    return Math.min(traffic.sharedPrefixTokens(), promptTokens);
  }

  /** The prompt as text, one word a token: shared words first, then words of this request alone. */
  public String promptText() {
    StringBuilder text = new StringBuilder();
    int shared = sharedTokens();
    for (int token = 0; token < promptTokens; token++) {
      if (token < shared) {
        text.append(traffic.service().value()).append(prefix).append('w').append(token);
      } else {
        text.append('r').append(index).append('w').append(token);
      }
      text.append(' ');
    }
    return text.toString();
  }
}
